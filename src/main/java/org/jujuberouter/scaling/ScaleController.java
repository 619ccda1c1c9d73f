package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.duty.InstanceDemand;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.ServiceName;

/**
 * Decides how many engines each service needs in each failure domain.
 *
 * <p>The load of a service is measured in engines that would be busy throughout. Engines are added when callers gain more
 * from them, over the time for which a load that has lasted is expected to last, than they cost over the time for which
 * they will stay. They are removed in small steps while late calls and engines together cost less with fewer. Engines
 * that are needed again soon after their removal lengthen the time to the next removal, so random bursts cause no orders
 * back and forth. Orders state total counts, so a new leader that repeats one changes nothing.
 *
 * <p>All times are in milliseconds of one {@code Ticker}.
 */
public final class ScaleController {
    /** Time after a change of the leader in which nothing is ordered; each instance has reported twice by then. */
    private static final long SETTLE_MS = 3_000;

    /** Time after which engines are added even if the view is incomplete. */
    private static final long MAX_SETTLE_MS = 10_000;

    /** Age from which a report is stale; reports come every second. */
    private static final long STALE_MS = 3_000;

    /** Fraction of the instances whose reports may be stale in a complete view. */
    private static final double MAX_STALE_FRACTION = 0.1;

    /** Time after the return of a failure domain for which nothing is removed; its engines are cold at first. */
    private static final long DOMAIN_RETURN_MS = 30_000;

    private final ScalingPolicy policy;
    private final ScalingObserver observer;
    private final OrderTracker orders = new OrderTracker();
    private final Map<ServiceName, ServiceScaler> scalers = new HashMap<>();
    private long leaderSinceMs;
    private long takenOutAtMs;

    private ScaleController(ScalingPolicy policy, ScalingObserver observer) {
        this.policy = policy;
        this.observer = observer;
        leaderChanged(0);
    }

    /** Returns a controller; {@link #leaderChanged} begins each term of its instance as the leader. */
    public static ScaleController of(ScalingPolicy policy, ScalingObserver observer) {
        return new ScaleController(policy, observer);
    }

    /** Forgets what was learned, because this instance has just become the leader. */
    public void leaderChanged(long nowMs) {
        leaderSinceMs = nowMs;
        takenOutAtMs = nowMs - DOMAIN_RETURN_MS;
        scalers.clear();
        orders.clear();
    }

    /** Returns where the driver reports what became of the orders. */
    public OrderTracker orders() {
        return orders;
    }

    /** Returns the orders that are necessary now; the driver calls it about once a second. */
    public List<ScaleOrder> decide(long nowMs, ScalingInputs inputs) {
        if (!inputs.takenOut().isEmpty()) {
            takenOutAtMs = nowMs;
        }
        int fresh = 0;
        for (InstanceDemand report : inputs.reports()) {
            fresh += report.ageMs() <= STALE_MS ? 1 : 0;
        }
        boolean complete = inputs.instances() - fresh <= inputs.instances() * MAX_STALE_FRACTION;
        long leaderForMs = nowMs - leaderSinceMs;
        boolean mayGrow = complete && leaderForMs >= SETTLE_MS || leaderForMs >= MAX_SETTLE_MS;
        boolean mayShrink = complete && nowMs - takenOutAtMs >= DOMAIN_RETURN_MS;

        List<ScaleOrder> decided = new ArrayList<>();
        Set<ServiceName> scaled = new HashSet<>();
        for (ServiceSpec service : inputs.services()) {
            if (service.scaling().isEmpty() || service.engine().isEmpty()) {
                continue;
            }
            scaled.add(service.name());
            ServiceScaler scaler =
                    scalers.computeIfAbsent(service.name(), _ -> new ServiceScaler(policy, orders, observer, nowMs));
            addReports(scaler.rates(), service, inputs.reports(), nowMs);
            decided.addAll(scaler.decide(
                    service,
                    inputs.engines().getOrDefault(service.name(), Map.of()),
                    inputs.takenOut(),
                    mayGrow,
                    mayShrink,
                    nowMs));
        }
        scalers.keySet().retainAll(scaled);
        return decided;
    }

    private void addReports(DemandRates rates, ServiceSpec service, List<InstanceDemand> reports, long nowMs) {
        int slots = Math.max(1, service.engine().orElseThrow().slots());
        // A sample from before the window is needed to measure over all of it.
        long keptMs = policy.usualWindowMs() + STALE_MS;
        for (InstanceDemand report : reports) {
            for (ServiceDemand demand : report.demand()) {
                if (demand.service().equals(service.name())) {
                    rates.add(report.source().instance(), demand, nowMs - report.ageMs(), slots, keptMs);
                }
            }
        }
    }
}
