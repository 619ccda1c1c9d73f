package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.FailureDomain;

/** Decides on the number of engines of one service; see {@link ScaleController}. */
final class ServiceScaler {
    /** Time within which an order in the other direction counts as a reversal, and after which it is forgotten. */
    private static final long REVERSAL_MS = 60_000;

    /** Time without growth after which reversals are forgotten; longer than 16 quiet times at a boot time of 8 s. */
    private static final long REVERSALS_FORGOTTEN_MS = 300_000;

    /** Time after which the engines of a service that has had no load since the leader changed are removed. */
    private static final long IDLE_MS = 300_000;

    /** A time so early that differences from it neither overflow nor count as recent. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** Boot times between two steps down; the effect of a step shows before the next one. */
    private static final double STEP_BOOT_TIMES = 0.5;

    /** Fraction of the engines that is added when calls lack capacity although the cost model finds enough engines. */
    private static final double GROWTH_IF_SHORT = 0.1;

    /** Time after its boot until an engine is warm. */
    private static final long COLD_MS = 5_000;

    /** Waiting calls per engine from which capacity is short; long prompts wait for a moment also at a low load. */
    private static final double MAX_WAITING_PER_ENGINE = 0.5;

    /** Time for which an engine must be out of use before it counts as failed; most back-offs end earlier. */
    private static final long FAILED_AFTER_MS = 5_000;

    private final ScalingPolicy policy;
    private final OrderTracker orders;
    private final ScalingObserver observer;
    private final long startedAtMs;
    private final DemandRates rates = new DemandRates();
    private final LoadHistory peaks;
    private final LoadHistory required;
    private final Map<FailureDomain, LoadHistory> inUse = new HashMap<>();
    private long firstLoadAtMs = NEVER;
    private long lastGrowthAtMs = NEVER;
    private long lastShrinkAtMs = NEVER;
    private int quietFactor = 1;

    ServiceScaler(ScalingPolicy policy, OrderTracker orders, ScalingObserver observer, long nowMs) {
        this.policy = policy;
        this.orders = orders;
        this.observer = observer;
        this.startedAtMs = nowMs;
        this.peaks = LoadHistory.of(policy.peakMemoryMs());
        this.required = LoadHistory.of(Math.max(REVERSALS_FORGOTTEN_MS, policy.peakMemoryMs()));
    }

    /**
     * The engines of the service that calls can be sent to.
     *
     * @param counts ordered or registered engines for each domain that is not taken out
     * @param planned engines that are usable once pending orders have taken effect and cold engines are warm
     * @param usable engines that are usable now
     */
    private record Supply(Map<FailureDomain, Integer> counts, int planned, int usable) {}

    DemandRates rates() {
        return rates;
    }

    /**
     * Returns the orders that are necessary now.
     *
     * @param mayGrow whether the view is complete enough to add engines
     * @param mayShrink whether the view is complete and steady enough to remove engines
     */
    List<ScaleOrder> decide(
            ServiceSpec service,
            Map<FailureDomain, EngineCount> engines,
            Set<FailureDomain> takenOut,
            boolean mayGrow,
            boolean mayShrink,
            long nowMs) {
        ScalingSpec bounds = service.scaling().orElseThrow();
        rates.expire(nowMs);
        Supply supply = supply(service, engines, takenOut, nowMs);
        double mean = rates.load(policy.meanWindowMs());
        if (mean > 0 && firstLoadAtMs == NEVER) {
            firstLoadAtMs = nowMs;
        }
        // Over less than their windows, single long prompts would look like a rise.
        if (nowMs - startedAtMs > policy.peakWindowMs()) {
            peaks.add(rates.load(policy.peakWindowMs()), nowMs);
        }
        boolean isMeanKnown = nowMs - startedAtMs > policy.recentWindowMs();
        double recent = isMeanKnown ? rates.load(policy.recentWindowMs()) : 0;
        double peak = peaks.max(policy.peakMemoryMs(), nowMs);
        double forRise = Math.max(recent / policy.recentUtilisation(), peak / policy.peakUtilisation());
        int needed = Math.max(1, ceil(Math.max(mean / policy.targetUtilisation(), forRise)));
        if (isMeanKnown) {
            required.add(needed, nowMs);
        }

        Map<FailureDomain, Integer> wanted = new TreeMap<>(supply.counts);
        EngineDivision division =
                EngineDivision.of(supply.counts.keySet(), rates.loadByDomain(policy.meanWindowMs()), bounds);
        boolean grows =
                ceil(forRise) > supply.planned || isMeanKnown && mean > supply.planned * policy.growUtilisation();
        int missing = grows ? needed - supply.planned : 0;
        String reason = "load";
        boolean isShort = rates.refusedLately() || rates.waiting() > supply.planned * MAX_WAITING_PER_ENGINE;
        // The engines that boot already may be all that these calls lacked.
        boolean isBooting = nowMs - lastGrowthAtMs < bounds.bootTimeMs() + COLD_MS;
        if (missing <= 0 && isShort && !isBooting) {
            missing = ceil(supply.planned * GROWTH_IF_SHORT);
            reason = "calls wait or are refused";
        }
        if (missing > 0 && mayGrow) {
            division.grow(wanted, missing);
        } else if (missing <= 0 && isMeanKnown && mayShrink && !isShort) {
            division.shrink(wanted, surplus(supply, bounds, nowMs));
            reason = "low load";
        }
        return orders(service, engines, supply.counts, wanted, reason, mean, nowMs);
    }

    /** Returns the number of engines to remove in this step. */
    private int surplus(Supply supply, ScalingSpec bounds, long nowMs) {
        if (nowMs - lastGrowthAtMs > REVERSALS_FORGOTTEN_MS) {
            quietFactor = 1;
        }
        long quietMs = Math.round(policy.quietBootTimes() * bounds.bootTimeMs() * quietFactor);
        long minQuietMs = Math.round(policy.quietBootTimes() * bounds.bootTimeMs());
        // Engines that stand ready for a load that has yet to begin are kept for a while.
        long observedMs = firstLoadAtMs == NEVER ? nowMs - startedAtMs - IDLE_MS : nowMs - firstLoadAtMs;
        boolean isQuiet = observedMs >= minQuietMs && nowMs - lastGrowthAtMs >= quietMs;
        if (!isQuiet || nowMs - lastShrinkAtMs < STEP_BOOT_TIMES * bounds.bootTimeMs()) {
            return 0;
        }
        int superfluous = Math.min(supply.planned, supply.usable)
                - ceil(required.max(Math.max(quietMs, policy.lowWindowMs()), nowMs));
        int step = Math.max(1, (int) (supply.planned * policy.stepFraction()));
        return Math.max(0, Math.min(superfluous, step));
    }

    private Supply supply(
            ServiceSpec service, Map<FailureDomain, EngineCount> engines, Set<FailureDomain> takenOut, long nowMs) {
        Map<FailureDomain, Integer> counts = new TreeMap<>();
        int planned = 0;
        int usable = 0;
        for (Map.Entry<FailureDomain, EngineCount> entry : engines.entrySet()) {
            FailureDomain domain = entry.getKey();
            if (takenOut.contains(domain)) {
                continue;
            }
            EngineCount count = entry.getValue();
            LoadHistory history = inUse.computeIfAbsent(domain, _ -> LoadHistory.of(FAILED_AFTER_MS));
            history.add(count.usable() + count.cold(), nowMs);
            int failed = Math.max(0, count.registered() - (int) history.max(FAILED_AFTER_MS, nowMs));
            long bootTimeMs = service.scaling().orElseThrow().bootTimeMs();
            int ordered = orders.pending(service.name(), domain, count.registered(), bootTimeMs, nowMs)
                    .orElse(count.registered());
            counts.put(domain, ordered);
            planned += Math.max(0, ordered - failed);
            usable += count.usable();
        }
        return new Supply(counts, planned, usable);
    }

    private List<ScaleOrder> orders(
            ServiceSpec service,
            Map<FailureDomain, EngineCount> engines,
            Map<FailureDomain, Integer> counts,
            Map<FailureDomain, Integer> wanted,
            String reason,
            double load,
            long nowMs) {
        List<ScaleOrder> decided = new ArrayList<>();
        engines.forEach((domain, count) -> observer.engines(
                service.name(), domain, wanted.getOrDefault(domain, count.registered()), count.registered()));
        boolean grows = false;
        for (Map.Entry<FailureDomain, Integer> entry : wanted.entrySet()) {
            FailureDomain domain = entry.getKey();
            int registered = engines.get(domain).registered();
            if (entry.getValue().equals(counts.get(domain)) || orders.isHeldBack(service.name(), domain, nowMs)) {
                continue;
            }
            grows = entry.getValue() > counts.get(domain);
            ScaleOrder order = new ScaleOrder(service.name(), domain, entry.getValue());
            observer.ordered(order, registered, reason, load);
            orders.sent(order, nowMs);
            decided.add(order);
        }
        if (!decided.isEmpty()) {
            recordDirection(grows, nowMs);
        }
        return decided;
    }

    /** Removed engines that are needed again soon make the next removal wait longer. */
    private void recordDirection(boolean grows, long nowMs) {
        if (!grows) {
            lastShrinkAtMs = nowMs;
            return;
        }
        if (nowMs - lastShrinkAtMs < REVERSAL_MS && lastGrowthAtMs < lastShrinkAtMs) {
            quietFactor = Math.min(policy.maxQuietFactor(), quietFactor * 2);
        }
        lastGrowthAtMs = nowMs;
    }

    private static int ceil(double engines) {
        // Sums of rates are not exact; a value that is above a whole number by rounding alone needs no further engine.
        return (int) Math.ceil(engines - 1e-9);
    }
}
