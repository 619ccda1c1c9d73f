package org.jujuberouter.duty;

/**
 * The duties in force and the bounds that the platform sets for them.
 *
 * @param usageReports whether the usage of customers is reported
 * @param autoscale whether engine counts are ordered
 * @param callsPerSecond rate limit of the platform's API, over all instances
 * @param alternationMs time within which leadership must not alternate between two instances
 * @param thawMs shortest suspension of a machine that must not go unnoticed
 * @param windowMs length of a window of a usage report
 */
public record DutySettings(
        boolean usageReports,
        boolean autoscale,
        double callsPerSecond,
        long alternationMs,
        long thawMs,
        long windowMs) {
    /** Throws {@link IllegalArgumentException} if a value is out of range. */
    public DutySettings {
        if (windowMs <= 0) {
            throw new IllegalArgumentException("the length of a window must be positive: " + windowMs + " ms");
        }
        if (!(callsPerSecond > 0)) {
            throw new IllegalArgumentException("the rate limit must be positive: " + callsPerSecond + " calls/s");
        }
    }
}
