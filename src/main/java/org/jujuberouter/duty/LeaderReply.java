package org.jujuberouter.duty;

/**
 * The leader's reply to a report.
 *
 * @param correctionMs the difference to add to the wall-clock time of the report to get the true time
 * @param lastCommitted the last window whose counts are committed, or 0 if there is none
 * @param uptimeMs the uptime from the report, which identifies it
 */
public record LeaderReply(long correctionMs, long lastCommitted, long uptimeMs) {}
