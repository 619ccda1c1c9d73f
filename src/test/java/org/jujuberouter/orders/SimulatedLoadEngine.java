package org.jujuberouter.orders;

import java.time.Duration;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.ServiceName;

/** An engine that loads models, has cold starts, executes requests and may ignore fencing numbers. */
final class SimulatedLoadEngine {
    static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final long LOAD_NANOS = Duration.ofSeconds(20).toNanos();
    private static final long COLD_START_NANOS = Duration.ofSeconds(5).toNanos();

    final EndpointId id;
    final boolean checksFencing;
    EngineConfig config = EngineConfig.of(ModelSpec.of("alpha", "", "v1"), ServingRole.MIXED);
    EngineConfig loading;
    String previousModel = "";
    long loadEnd;
    long coldUntil;
    long workUntil;
    long boot = 1;

    /**
     * Whether it has served the loaded model; if not, it is a new engine of that model and was not taken out of
     * service.
     */
    boolean served = true;

    long fence;

    SimulatedLoadEngine(EndpointId id, boolean checksFencing) {
        this.id = id;
        this.checksFencing = checksFencing;
    }

    void advance(long now) {
        if (loading != null && now >= loadEnd) {
            config = EngineConfig.of(loading.spec(), config.role());
            loading = null;
            coldUntil = now + COLD_START_NANOS;
            served = config.spec().model().equals(previousModel);
        }
    }

    /** Restarts the engine and loses a load in progress. */
    void restart() {
        loading = null;
        boot++;
        workUntil = 0;
    }

    /** Receives an order and returns whether that started a load. */
    boolean receive(Order order, long now) {
        fence = Math.max(fence, order.fence());
        if (order.kind() == Order.Kind.CHANGE_ROLE) {
            config = EngineConfig.of(config.spec(), order.target().role());
            return false;
        }
        if (loading == null && !config.spec().equals(order.target().spec())) {
            previousModel = config.spec().model();
            loading = order.target();
            loadEnd = now + LOAD_NANOS;
            return true;
        }
        return false;
    }

    boolean cold(long now) {
        return now < coldUntil;
    }

    /** Returns whether a load keeps the engine out of service for the model that it serves or served. */
    boolean isOutOfService(String model, boolean drained, long now) {
        boolean out = drained || loading != null || cold(now);
        served |= !out;
        return out && served && config.spec().model().equals(model);
    }

    EngineView view(long now) {
        boolean up = loading == null && !cold(now);
        return new EngineView(SERVICE, config, up, now >= workUntil, !up, boot, now);
    }
}
