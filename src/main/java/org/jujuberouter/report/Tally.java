package org.jujuberouter.report;

/**
 * Requests that ended at one time.
 *
 * @param t milliseconds since 1970
 * @param total how many there were
 * @param bad how many of them missed the objective
 */
record Tally(long t, long total, long bad) {}
