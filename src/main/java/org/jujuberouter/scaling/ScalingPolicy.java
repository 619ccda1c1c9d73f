package org.jujuberouter.scaling;

/**
 * Prices, times and step sizes of the controller; docs/design/scaling.md gives the estimates behind them.
 *
 * @param costOfLateLoad engine seconds that are worth what late calls that need an engine second lose
 * @param capacityFactor part of the capacity of the queueing model that engines are taken to have; the model places calls
 *     with a complete view, which instances do not have
 * @param assumedBurstShare share of time that bursts are assumed to fill at least
 * @param usualWindowMs time whose median is the usual load, in milliseconds; longer than twice the stated bursts
 * @param sampleWindowMs time over which the load is measured, in milliseconds; about the objective of the longest prompts
 * @param lastingBootTimes boot times that a load must fill for the most part to count as lasting
 * @param dayMs time for which engines that cannot be removed are assumed to stay, in milliseconds
 * @param spareFactor engines that are kept for each one that is worth its cost
 * @param quietBootTimes boot times after growth in which no engines are removed
 * @param lowWindowMs time whose largest requirement engines are not removed below, in milliseconds
 * @param maxQuietFactor maximum factor by which the time after growth rises while removed engines are needed again soon
 * @param stepFraction maximum fraction of the engines that one step removes
 */
public record ScalingPolicy(
        double costOfLateLoad,
        double capacityFactor,
        double assumedBurstShare,
        long usualWindowMs,
        long sampleWindowMs,
        double lastingBootTimes,
        long dayMs,
        double spareFactor,
        double quietBootTimes,
        long lowWindowMs,
        int maxQuietFactor,
        double stepFraction) {
    /** Returns the values in use. */
    public static ScalingPolicy defaults() {
        return new ScalingPolicy(15, 0.85, 0.18, 30_000, 4_000, 2, 300_000, 1.5, 2, 60_000, 16, 0.1);
    }
}
