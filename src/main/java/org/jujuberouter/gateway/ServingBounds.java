package org.jujuberouter.gateway;

/**
 * Limits and intervals that the operator sets for a deployment.
 *
 * @param keyRevocationMs longest time for which a revoked API key may still be accepted, in milliseconds
 * @param stopMs time between the stop signal and the kill, in milliseconds
 * @param retryRatio retries allowed per request, over all instances
 * @param retrySlack additional retries allowed per window, over all instances
 * @param retryWindowMs length of the window, in milliseconds
 * @param heartbeatMs interval at which endpoints renew their registrations, in milliseconds
 */
public record ServingBounds(
        long keyRevocationMs, long stopMs, double retryRatio, int retrySlack, long retryWindowMs, long heartbeatMs) {
    /** Returns the values as text; the generated method takes 30 ms of the start, at which the bounds are logged. */
    @Override
    public String toString() {
        return new StringBuilder("ServingBounds[keyRevocationMs=")
                .append(keyRevocationMs)
                .append(", stopMs=")
                .append(stopMs)
                .append(", retryRatio=")
                .append(retryRatio)
                .append(", retrySlack=")
                .append(retrySlack)
                .append(", retryWindowMs=")
                .append(retryWindowMs)
                .append(", heartbeatMs=")
                .append(heartbeatMs)
                .append(']')
                .toString();
    }
}
