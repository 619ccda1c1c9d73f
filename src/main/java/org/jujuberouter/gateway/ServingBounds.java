package org.jujuberouter.gateway;

/**
 * The bounds that operators set for this deployment.
 *
 * @param keyRevocationMs longest time for which a withdrawn API key may be honoured, in milliseconds
 * @param stopMs time between the order to stop and the kill, in milliseconds
 * @param retryRatio retries allowed for each request, summed over all instances
 * @param retrySlack retries allowed besides, in one window, summed over all instances
 * @param retryWindowMs length of that window, in milliseconds
 */
public record ServingBounds(long keyRevocationMs, long stopMs, double retryRatio, int retrySlack, long retryWindowMs) {}
