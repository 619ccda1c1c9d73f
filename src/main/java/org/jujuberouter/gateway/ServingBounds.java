package org.jujuberouter.gateway;

/**
 * Limits that the operator sets for a deployment.
 *
 * @param keyRevocationMs longest time for which a revoked API key may still be accepted, in milliseconds
 * @param stopMs time between the stop signal and the kill, in milliseconds
 * @param retryRatio retries allowed per request, over all instances
 * @param retrySlack additional retries allowed per window, over all instances
 * @param retryWindowMs length of the window, in milliseconds
 */
public record ServingBounds(long keyRevocationMs, long stopMs, double retryRatio, int retrySlack, long retryWindowMs) {}
