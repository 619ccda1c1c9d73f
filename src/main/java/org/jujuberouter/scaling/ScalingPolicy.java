package org.jujuberouter.scaling;

/**
 * Utilisations, times and step sizes of the controller; docs/design/scaling.md gives the estimates behind them.
 *
 * @param targetUtilisation utilisation by the mean load for which engines are ordered; the largest stated burst, 2.8
 *     times the mean, then still fits
 * @param growUtilisation utilisation by the mean load above which engines are added; chance alone seldom moves the mean
 *     from the target to this value
 * @param meanWindowMs time over which the mean load is measured, in milliseconds; longer than the stated bursts
 * @param recentUtilisation utilisation that the recent load may reach
 * @param recentWindowMs time over which the recent load is measured, in milliseconds; about a boot time
 * @param peakUtilisation utilisation that a peak of the load may reach
 * @param peakWindowMs time over which a peak is measured, in milliseconds; about the objective of the longest prompts
 * @param peakMemoryMs time for which a peak counts, in milliseconds
 * @param quietBootTimes boot times for which the load must have been low before engines are removed
 * @param lowWindowMs time whose largest requirement engines are not removed below, in milliseconds; a low that chance
 *     alone causes in the mean seldom lasts as long
 * @param maxQuietFactor maximum factor by which that time grows while removed engines are needed again soon
 * @param stepFraction maximum fraction of the engines that one step removes
 */
public record ScalingPolicy(
        double targetUtilisation,
        double growUtilisation,
        long meanWindowMs,
        double recentUtilisation,
        long recentWindowMs,
        double peakUtilisation,
        long peakWindowMs,
        long peakMemoryMs,
        double quietBootTimes,
        long lowWindowMs,
        int maxQuietFactor,
        double stepFraction) {
    /** Returns the values in use. */
    public static ScalingPolicy defaults() {
        return new ScalingPolicy(0.36, 0.45, 30_000, 0.6, 10_000, 0.8, 4_000, 30_000, 2, 60_000, 16, 0.1);
    }
}
