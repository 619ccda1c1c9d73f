package org.jujuberouter.report;

/**
 * The number of requests counted at one time, and of those that missed the objective.
 *
 * @param t milliseconds since 1970
 * @param total the number of requests
 * @param bad the number of them that missed the objective
 */
record TimedCount(long t, long total, long bad) {}
