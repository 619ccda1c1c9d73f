package org.jujuberouter.scaling;

/**
 * What late calls cost with a number of engines, in the cost of an engine for the same time.
 *
 * <p>The parts of calls that are late are figures of the queueing model of {@code SizingEstimateTest}; see
 * docs/design/scaling.md.
 */
final class LatenessCost {
    private static final double[] LASTING_UTILISATION = {0.65, 0.7, 0.8, 0.9, 1.0, 2.0, 2.5, 3};
    private static final double[] LASTING_LATE = {0, 0.014, 0.054, 0.163, 0.181, 0.186, 0.941, 0.98};
    private static final double[] BURST_UTILISATION = {0.8, 0.9, 1.0, 1.1, 1.2, 1.5, 1.75, 2, 2.5};
    private static final double[] BURST_LATE = {0, 0.016, 0.065, 0.11, 0.152, 0.187, 0.2, 0.303, 0.937};

    private final double costOfLateLoad;
    private final double capacityFactor;
    private final double[] burstShares;

    private LatenessCost(double costOfLateLoad, double capacityFactor, double[] burstShares) {
        this.costOfLateLoad = costOfLateLoad;
        this.capacityFactor = capacityFactor;
        this.burstShares = burstShares;
    }

    /**
     * Returns the cost under the given bursts.
     *
     * @param burstShares share of time that each class of {@link LoadProfile} fills
     */
    static LatenessCost of(ScalingPolicy policy, double[] burstShares) {
        return new LatenessCost(policy.costOfLateLoad(), policy.capacityFactor(), burstShares);
    }

    /**
     * Returns the mean cost with a number of engines.
     *
     * @param load the load without bursts
     * @param burstBase the load that bursts multiply; below the load if that may be a burst itself
     */
    double of(double load, double burstBase, double engines) {
        double capacity = Math.max(engines * capacityFactor, Double.MIN_NORMAL);
        double late = load * interpolate(LASTING_UTILISATION, LASTING_LATE, load / capacity);
        for (int i = 0; i < burstShares.length; i++) {
            if (burstShares[i] > 0) {
                double burst = i * LoadProfile.BURST_CLASS * burstBase;
                late += burstShares[i] * burst * interpolate(BURST_UTILISATION, BURST_LATE, burst / capacity);
            }
        }
        return costOfLateLoad * late;
    }

    /** Returns the number of engines at which engines and late calls together cost least. */
    int cheapest(double load, int max) {
        int best = 1;
        double least = Double.MAX_VALUE;
        for (int engines = 1; engines <= max && engines < least; engines++) {
            double cost = engines + of(load, load, engines);
            if (cost < least) {
                best = engines;
                least = cost;
            }
        }
        return best;
    }

    private static double interpolate(double[] xs, double[] ys, double x) {
        if (x <= xs[0]) {
            return ys[0];
        }
        for (int i = 1; i < xs.length; i++) {
            if (x < xs[i]) {
                return ys[i - 1] + (ys[i] - ys[i - 1]) * (x - xs[i - 1]) / (xs[i] - xs[i - 1]);
            }
        }
        return ys[ys.length - 1];
    }
}
