package org.jujuberouter.scaling;

import java.util.ArrayList;
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

    /** A load that has lasted for a time is expected to last for this multiple of it. */
    private static final double FORECAST_FACTOR = 1.5;

    /** Longest time for which a load is known to have lasted, in milliseconds, unless two boot times are longer. */
    private static final long MAX_FORECAST_MS = 300_000;

    /**
     * Utilisation that calls show when they lack capacity although the cost model finds enough engines; at it, the
     * queueing model finds a tenth of the calls late.
     */
    private static final double UTILISATION_IF_SHORT = 0.85;

    /** Rise of a lasting load within a second from which it has not reached its level yet. */
    private static final double MAX_RISE = 1.05;

    /** Part of the engines that a growth must exceed while others boot; their effect does not show yet. */
    private static final double MIN_GROWTH_WHILE_BOOTING = 0.25;

    /** Smallest part of the engines that counts as usable, so that the load that they show stays finite. */
    private static final double MIN_USABLE_PART = 0.25;

    /** Waiting calls per engine from which capacity is short; long prompts wait for a moment also at a low load. */
    private static final double MAX_WAITING_PER_ENGINE = 0.5;

    private final ScalingPolicy policy;
    private final OrderTracker orders;
    private final ScalingObserver observer;
    private final long startedAtMs;
    private final DemandRates rates = new DemandRates();
    private final LoadProfile profile;
    private final LoadHistory required;
    private final LoadHistory planned;
    private double lastingBefore;
    private long firstLoadAtMs = NEVER;
    private long lastGrowthAtMs = NEVER;
    private long lastShrinkAtMs = NEVER;
    private int quietFactor = 1;

    ServiceScaler(ScalingPolicy policy, OrderTracker orders, ScalingObserver observer, long nowMs) {
        this.policy = policy;
        this.orders = orders;
        this.observer = observer;
        this.startedAtMs = nowMs;
        this.profile = LoadProfile.of(policy.assumedBurstShare(), policy.usualWindowMs());
        this.required = LoadHistory.of(Math.max(REVERSALS_FORGOTTEN_MS, policy.lowWindowMs()));
        this.planned = LoadHistory.of(MAX_FORECAST_MS);
    }

    /**
     * The engines of the service that calls can be sent to.
     *
     * @param counts ordered or registered engines for each domain that is not taken out
     * @param planned sum of the counts
     * @param usable engines that are usable now
     * @param isBooting whether more engines are ordered than are registered
     * @param usablePart part of the registered engines that is usable or only cold
     */
    private record Supply(
            Map<FailureDomain, Integer> counts, int planned, int usable, boolean isBooting, double usablePart) {}

    /**
     * The load that engines are ordered for.
     *
     * @param load the load that has lasted
     * @param burstBase the part of it that bursts multiply
     * @param lastedMs time for which it has lasted
     * @param typical the usual load of the whole time that is known
     * @param kept number of engines that are not removed at that load
     */
    private record Outlook(double load, double burstBase, long lastedMs, double typical, int kept) {}

    /** A growth by a number of engines, and what it gains beyond its cost. */
    private record Growth(int engines, double net) {}

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
        planned.add(supply.planned, nowMs);
        double load = rates.load(policy.sampleWindowMs());
        if (load > 0 && firstLoadAtMs == NEVER) {
            firstLoadAtMs = nowMs;
        }
        boolean isShort = rates.refusedLately() || rates.waiting() > supply.planned * MAX_WAITING_PER_ENGINE;
        // Over less than its window, single long prompts would look like a high load.
        if (nowMs - startedAtMs > policy.sampleWindowMs()) {
            double shown = Math.max(load / supply.usablePart, isShort ? supply.planned * UTILISATION_IF_SHORT : 0);
            profile.add(shown, nowMs, Math.max(MAX_FORECAST_MS, lastingMs(bounds)));
        }
        LatenessCost cost = LatenessCost.of(policy, profile.burstShares());
        double lasting = profile.lasting(lastingMs(bounds), nowMs);
        // A level that still rises would be followed by one order after the other.
        boolean isSettled = lasting <= lastingBefore * MAX_RISE;
        lastingBefore = lasting;
        double level = Math.max(profile.usual(nowMs), lasting);
        int max = bounds.max() * Math.max(1, supply.counts.size());
        required.add(kept(cost, level, max), nowMs);

        Map<FailureDomain, Integer> wanted = new TreeMap<>(supply.counts);
        EngineDivision division =
                EngineDivision.of(supply.counts.keySet(), rates.loadByDomain(policy.usualWindowMs()), bounds);
        String reason = "load";
        int missing = growth(cost, supply, bounds, division, nowMs);
        // While engines boot, a small rise is not worth another order.
        boolean isWorthAnOrder = !supply.isBooting || missing > supply.planned * MIN_GROWTH_WHILE_BOOTING;
        if (missing > 0 && mayGrow && isSettled && isWorthAnOrder) {
            division.grow(wanted, missing);
        } else if (missing == 0 && mayShrink && !isShort) {
            division.shrink(wanted, surplus(supply, bounds, nowMs));
            reason = "low load";
        }
        return orders(service, engines, supply.counts, wanted, reason, load, nowMs);
    }

    private long lastingMs(ScalingSpec bounds) {
        return Math.round(policy.lastingBootTimes() * bounds.bootTimeMs());
    }

    /** Returns the number of engines above which some are removed at the given load. */
    private int kept(LatenessCost cost, double load, int max) {
        return (int) Math.ceil(cost.cheapest(load, max) * policy.spareFactor());
    }

    /** Returns the number of engines to add now, for which the gain exceeds the cost most. */
    private int growth(LatenessCost cost, Supply supply, ScalingSpec bounds, EngineDivision division, long nowMs) {
        Growth best = new Growth(0, 0);
        long longestMs = Math.max(MAX_FORECAST_MS, lastingMs(bounds));
        double usual = profile.usual(nowMs);
        double typical = profile.typical();
        int kept = kept(cost, typical, bounds.max() * Math.max(1, supply.counts.size()));
        for (long lastedMs = lastingMs(bounds); lastedMs <= longestMs; lastedMs *= 2) {
            double load = profile.lasting(lastedMs, nowMs);
            Outlook outlook = new Outlook(load, Math.min(load, usual), lastedMs, typical, kept);
            Growth growth = growth(cost, outlook, supply, bounds, division, nowMs);
            best = growth.net > best.net ? growth : best;
        }
        return best.engines;
    }

    private Growth growth(
            LatenessCost cost,
            Outlook outlook,
            Supply supply,
            ScalingSpec bounds,
            EngineDivision division,
            long nowMs) {
        Growth best = new Growth(0, 0);
        // Engines that left a moment ago, for instance at a failure, may be back before a new one has booted.
        int present = (int) planned.max(lastingMs(bounds), nowMs);
        double lossRate = cost.of(outlook.load, outlook.burstBase, present);
        double typicalLossRate = cost.of(outlook.typical, outlook.typical, present);
        long lastsMs = Math.round(FORECAST_FACTOR * outlook.lastedMs);
        long gainMs = lastsMs - bounds.bootTimeMs();
        long staysMs = lastsMs + Math.max(quietMs(bounds), policy.lowWindowMs());
        long afterwardsMs = Math.max(0, Math.min(policy.dayMs(), profile.observedMs()) - lastsMs);
        double limit = lossRate * gainMs + typicalLossRate * afterwardsMs;
        for (int added = 1; limit > (double) added * staysMs; ) {
            Map<FailureDomain, Integer> counts = new TreeMap<>(supply.counts);
            division.grow(counts, added);
            int grown = 0;
            int fixed = 0;
            for (Map.Entry<FailureDomain, Integer> entry : counts.entrySet()) {
                int before = supply.counts.get(entry.getKey());
                grown += entry.getValue() - before;
                // An order for a domain below the minimum brings all engines up to it, and none can be removed again.
                fixed += Math.max(0, Math.min(entry.getValue(), bounds.min()) - before);
            }
            if (grown < added) {
                break;
            }
            // Engines that the typical load keeps are not removed either, but callers gain from them all the time.
            fixed = Math.max(fixed, Math.clamp(outlook.kept - present, 0, grown));
            double net = gainMs * (lossRate - cost.of(outlook.load, outlook.burstBase, present + grown))
                    - (double) (grown - fixed) * staysMs;
            if (fixed > 0) {
                net += afterwardsMs * (typicalLossRate - cost.of(outlook.typical, outlook.typical, present + fixed))
                        - (double) fixed * Math.max(staysMs, policy.dayMs());
            }
            best = net > best.net ? new Growth(grown, net) : best;
            added = grown + 1;
        }
        return best;
    }

    private long quietMs(ScalingSpec bounds) {
        return Math.round(policy.quietBootTimes() * bounds.bootTimeMs() * quietFactor);
    }

    /** Returns the number of engines to remove in this step. */
    private int surplus(Supply supply, ScalingSpec bounds, long nowMs) {
        if (nowMs - lastGrowthAtMs > REVERSALS_FORGOTTEN_MS) {
            quietFactor = 1;
        }
        long quietMs = quietMs(bounds);
        long minQuietMs = Math.round(policy.quietBootTimes() * bounds.bootTimeMs());
        // Engines that stand ready for a load that has yet to begin are kept for a while.
        long observedMs = firstLoadAtMs == NEVER ? nowMs - startedAtMs - IDLE_MS : nowMs - firstLoadAtMs;
        boolean isQuiet =
                observedMs >= Math.max(minQuietMs, policy.usualWindowMs()) && nowMs - lastGrowthAtMs >= quietMs;
        if (!isQuiet || nowMs - lastShrinkAtMs < STEP_BOOT_TIMES * bounds.bootTimeMs()) {
            return 0;
        }
        int superfluous = Math.min(supply.planned, supply.usable)
                - (int) required.max(Math.max(quietMs, policy.lowWindowMs()), nowMs);
        int step = Math.max(1, (int) (supply.planned * policy.stepFraction()));
        return Math.max(0, Math.min(superfluous, step));
    }

    private Supply supply(
            ServiceSpec service, Map<FailureDomain, EngineCount> engines, Set<FailureDomain> takenOut, long nowMs) {
        Map<FailureDomain, Integer> counts = new TreeMap<>();
        int sum = 0;
        int registered = 0;
        int usable = 0;
        int cold = 0;
        for (Map.Entry<FailureDomain, EngineCount> entry : engines.entrySet()) {
            FailureDomain domain = entry.getKey();
            if (takenOut.contains(domain)) {
                continue;
            }
            EngineCount count = entry.getValue();
            long bootTimeMs = service.scaling().orElseThrow().bootTimeMs();
            int ordered = orders.pending(service.name(), domain, count.registered(), bootTimeMs, nowMs)
                    .orElse(count.registered());
            counts.put(domain, ordered);
            sum += ordered;
            registered += count.registered();
            usable += count.usable();
            cold += count.cold();
        }
        double usablePart = registered == 0 ? 1 : (double) (usable + cold) / registered;
        return new Supply(counts, sum, usable, sum > registered, Math.max(MIN_USABLE_PART, usablePart));
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
}
