package org.jujuberouter.scaling;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;

/**
 * The load of a service over the last minutes: its usual level, the level that has lasted for some time, and the share of
 * time that bursts above the usual level fill.
 */
final class LoadProfile {
    /** Width of a class of bursts, as a multiple of the usual load. */
    static final double BURST_CLASS = 0.25;

    /** Number of classes; the last one holds all larger bursts. */
    static final int BURST_CLASSES = 21;

    /** Interval of samples; the driver decides about once a second. */
    private static final long SAMPLE_MS = 1_000;

    /** Samples that come sooner than this after the last one are left out, so that each stands for a second. */
    private static final long MIN_SAMPLE_MS = 500;

    /** Part of a window that a load must fill to count as lasting; single reports and long prompts make gaps. */
    private static final double LASTING_PART = 0.9;

    /** Ratio of the median of a steady load to the value that it exceeds for that part; loads of 4 s vary by a fifth. */
    private static final double LOWEST_TO_MEDIAN = 1.25;

    /** The smallest burst, as a class; chance alone seldom raises the load of 4 s that far above the median. */
    private static final int FIRST_BURST = 5;

    /** Number of samples over which the frequency of bursts is averaged. */
    private static final double BURST_MEMORY = 300;

    /** Number of samples that the assumption weighs as much as, so that one early burst is not taken for frequent ones. */
    private static final double ASSUMED_WEIGHT = 60;

    /** The smallest class of the stated bursts, 1.7 to 2.8 times the mean. */
    private static final int FIRST_STATED = 7;

    private static final int LAST_STATED = 11;

    private final double assumedBurstShare;
    private final long usualWindowMs;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final double[] burstWeights = new double[BURST_CLASSES];
    private double weight = ASSUMED_WEIGHT;

    private record Sample(long atMs, double load) {}

    private LoadProfile(double assumedBurstShare, long usualWindowMs) {
        this.assumedBurstShare = assumedBurstShare;
        this.usualWindowMs = usualWindowMs;
        int stated = LAST_STATED - FIRST_STATED + 1;
        Arrays.fill(burstWeights, FIRST_STATED, LAST_STATED + 1, ASSUMED_WEIGHT * assumedBurstShare / stated);
    }

    /**
     * Returns an empty profile.
     *
     * @param assumedBurstShare share of time that bursts are assumed to fill at least
     * @param usualWindowMs window whose median is the usual load
     */
    static LoadProfile of(double assumedBurstShare, long usualWindowMs) {
        return new LoadProfile(assumedBurstShare, usualWindowMs);
    }

    /** Adds the present load and forgets what is older than the given time. */
    void add(double load, long nowMs, long keptMs) {
        if (!samples.isEmpty() && nowMs - samples.peekLast().atMs < MIN_SAMPLE_MS) {
            return;
        }
        samples.addLast(new Sample(nowMs, load));
        while (nowMs - samples.peekFirst().atMs > Math.max(keptMs, usualWindowMs)) {
            samples.removeFirst();
        }
        // The median around a sample is known half a window later; by then a lasting rise is not taken for a burst.
        double[] around = loads(usualWindowMs, nowMs);
        int middle = around.length - 1 - (int) (usualWindowMs / 2 / SAMPLE_MS);
        if (middle >= 0) {
            double usual = median(around.clone());
            countBurst(usual > 0 ? around[middle] / usual : 0);
        }
    }

    private void countBurst(double factor) {
        int burst = (int) Math.min(BURST_CLASSES - 1, Math.round(factor / BURST_CLASS));
        for (int i = 0; i < BURST_CLASSES; i++) {
            burstWeights[i] *= 1 - 1 / BURST_MEMORY;
        }
        weight = weight * (1 - 1 / BURST_MEMORY) + 1;
        if (burst >= FIRST_BURST) {
            burstWeights[burst]++;
        }
    }

    /** Returns the usual load of the last half minute or so. */
    double usual(long nowMs) {
        return median(loads(usualWindowMs, nowMs));
    }

    /** Returns the usual load of the whole time that is known. */
    double typical() {
        return median(loads(Long.MAX_VALUE, 0));
    }

    /** Returns the time that is known. */
    long observedMs() {
        return samples.isEmpty() ? 0 : samples.peekLast().atMs - samples.peekFirst().atMs;
    }

    /** Returns the load that has lasted for nearly all of the given time. */
    double lasting(long windowMs, long nowMs) {
        double[] loads = loads(windowMs, nowMs);
        int needed = (int) Math.ceil(LASTING_PART * windowMs / SAMPLE_MS);
        Arrays.sort(loads);
        return loads.length < needed
                ? 0
                : Math.min(loads[loads.length / 2], loads[loads.length - needed] * LOWEST_TO_MEDIAN);
    }

    /** Returns the share of time that bursts of each class fill; together at least the assumed share. */
    double[] burstShares() {
        double stated = 0;
        for (int i = FIRST_STATED - 1; i < BURST_CLASSES; i++) {
            stated += burstWeights[i] / weight;
        }
        double scale = Math.max(1, assumedBurstShare / Math.max(stated, Double.MIN_NORMAL)) / weight;
        double[] shares = new double[BURST_CLASSES];
        for (int i = 0; i < BURST_CLASSES; i++) {
            shares[i] = burstWeights[i] * scale;
        }
        return shares;
    }

    private double[] loads(long windowMs, long nowMs) {
        double[] loads = new double[samples.size()];
        int first = loads.length;
        for (Iterator<Sample> latest = samples.descendingIterator(); latest.hasNext(); first--) {
            Sample sample = latest.next();
            if (sample.atMs <= nowMs - windowMs) {
                break;
            }
            loads[first - 1] = sample.load;
        }
        return Arrays.copyOfRange(loads, first, loads.length);
    }

    private static double median(double[] loads) {
        Arrays.sort(loads);
        return loads.length == 0 ? 0 : loads[loads.length / 2];
    }
}
