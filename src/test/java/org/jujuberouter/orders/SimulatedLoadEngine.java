package org.jujuberouter.orders;

import java.time.Duration;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.ServiceName;

/** An engine that loads, turns cold, works, and may ignore fencing numbers. */
final class SimulatedLoadEngine {
    static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final long LOAD = Duration.ofSeconds(20).toNanos();
    private static final long COLD = Duration.ofSeconds(5).toNanos();

    final EndpointId id;
    final boolean checksFencing;
    EngineConfig is = EngineConfig.of(ModelSpec.of("alpha", "", "v1"), ServingRole.MIXED);
    EngineConfig loading;
    String from = "";
    long loadEnd;
    long coldUntil;
    long workUntil;
    long boot = 1;

    /** Whether it has served what is loaded; an engine that has not only joins its model and was not taken from it. */
    boolean served = true;

    long fence;

    SimulatedLoadEngine(EndpointId id, boolean checksFencing) {
        this.id = id;
        this.checksFencing = checksFencing;
    }

    void advance(long now) {
        if (loading != null && now >= loadEnd) {
            is = EngineConfig.of(loading.content(), is.role());
            loading = null;
            coldUntil = now + COLD;
            served = is.content().model().equals(from);
        }
    }

    /** Forgets a load under way. */
    void restart() {
        loading = null;
        boot++;
        workUntil = 0;
    }

    /** Takes an order; tells whether it started a load. */
    boolean order(Order order, long now) {
        fence = Math.max(fence, order.fence());
        if (order.kind() == Order.Kind.CHANGE_ROLE) {
            is = EngineConfig.of(is.content(), order.target().role());
            return false;
        }
        if (loading == null && !is.content().equals(order.target().content())) {
            from = is.content().model();
            loading = order.target();
            loadEnd = now + LOAD;
            return true;
        }
        return false;
    }

    boolean cold(long now) {
        return now < coldUntil;
    }

    /** Tells whether a load keeps the engine out of service for the model that it serves or served. */
    boolean outOf(String model, boolean drained, long now) {
        boolean out = drained || loading != null || cold(now);
        served |= !out;
        return out && served && is.content().model().equals(model);
    }

    EngineView view(long now) {
        boolean up = loading == null && !cold(now);
        return new EngineView(SERVICE, is, up, now >= workUntil, !up, boot, now);
    }
}
