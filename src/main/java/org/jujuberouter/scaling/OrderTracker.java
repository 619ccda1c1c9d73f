package org.jujuberouter.scaling;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * The orders that have not taken effect yet.
 *
 * <p>A pending order counts as the number of engines in its domain, so that it isn't sent again while engines boot. The
 * driver reports what became of each order; without that, an order is taken for lost after a time.
 */
public final class OrderTracker {
    /** Time after which an order without effect is decided on anew. */
    private static final long MIN_EFFECT_MS = 10_000;

    /** Time after the boot by which a new engine is registered. */
    private static final long REGISTRATION_MS = 2_000;

    /** Time before an order that failed or was refused is decided on anew; the platform limits the rate of calls. */
    private static final long RETRY_MS = 1_000;

    private final Map<Target, Pending> pending = new HashMap<>();
    private final Map<Target, Long> retryAt = new HashMap<>();

    private record Target(ServiceName service, FailureDomain domain) {
        private static Target of(ScaleOrder order) {
            return new Target(order.service(), order.domain());
        }
    }

    private record Pending(int count, long atMs) {}

    OrderTracker() {}

    /** Records that the platform accepted an order; engines boot from then on. */
    public void accepted(ScaleOrder order, long nowMs) {
        if (isCurrent(order)) {
            pending.put(Target.of(order), new Pending(order.count(), nowMs));
        }
    }

    /** Records that an order was refused, timed out or was not sent. */
    public void failed(ScaleOrder order, long nowMs) {
        if (isCurrent(order)) {
            pending.remove(Target.of(order));
            retryAt.put(Target.of(order), nowMs + RETRY_MS);
        }
    }

    private boolean isCurrent(ScaleOrder order) {
        Pending known = pending.get(Target.of(order));
        return known != null && known.count == order.count();
    }

    void sent(ScaleOrder order, long nowMs) {
        pending.put(Target.of(order), new Pending(order.count(), nowMs));
    }

    /** Returns whether an order for the domain failed so recently that it must not be repeated yet. */
    boolean isHeldBack(ServiceName service, FailureDomain domain, long nowMs) {
        return nowMs < retryAt.getOrDefault(new Target(service, domain), Long.MIN_VALUE);
    }

    /** Returns the count of the order that is pending for a domain, after dropping one that took effect or was lost. */
    OptionalInt pending(ServiceName service, FailureDomain domain, int registered, long bootTimeMs, long nowMs) {
        Target target = new Target(service, domain);
        Pending order = pending.get(target);
        if (order == null) {
            return OptionalInt.empty();
        }
        if (order.count == registered || nowMs - order.atMs >= Math.max(MIN_EFFECT_MS, bootTimeMs + REGISTRATION_MS)) {
            pending.remove(target);
            return OptionalInt.empty();
        }
        return OptionalInt.of(order.count);
    }

    void clear() {
        pending.clear();
        retryAt.clear();
    }
}
