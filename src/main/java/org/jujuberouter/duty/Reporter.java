package org.jujuberouter.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** What the leader knows of one reporting instance. */
final class Reporter {
    /**
     * Number of reports from which the difference of the clocks is taken. A delayed report shows too small a
     * difference, so the largest one counts.
     */
    private static final int MAX_SAMPLES = 8;

    /** Change of the difference between the wall clock and the uptime that indicates a step of the wall clock. */
    private static final long MIN_STEP_MS = 20;

    /** Age of a report from which on the clock and the demand of its instance do not count. */
    private static final long MAX_REPORT_AGE_MS = 5_000;

    private final Deque<Long> offsets = new ArrayDeque<>();
    private long startOffsetMs;
    private long uptimeMs;
    private long receivedMs;
    private long countedUntilMs;
    private List<ServiceDemand> demand = List.of();

    /** Records a report that arrived at the given time of the leader's monotonic clock. */
    void reported(InstanceReport report, long nowMs) {
        long startOffset = report.wallMs() - report.uptimeMs();
        if (Math.abs(startOffset - startOffsetMs) > MIN_STEP_MS) {
            offsets.clear();
            startOffsetMs = startOffset;
        }
        offsets.addLast(report.wallMs() - nowMs);
        if (offsets.size() > MAX_SAMPLES) {
            offsets.removeFirst();
        }
        uptimeMs = report.uptimeMs();
        receivedMs = nowMs;
        countedUntilMs = report.countedUntilMs();
        demand = report.demand();
    }

    /** Returns the wall-clock time of the instance less the leader's monotonic time. */
    long offsetMs() {
        long largest = Long.MIN_VALUE;
        for (long offset : offsets) {
            largest = Math.max(largest, offset);
        }
        return largest;
    }

    /** Returns the start of the instance by the leader's monotonic clock. */
    long startedMs() {
        return receivedMs - uptimeMs;
    }

    /** Returns whether the clock and the demand of the instance count at the given time of the leader's clock. */
    boolean isRecent(long nowMs) {
        return nowMs - receivedMs <= MAX_REPORT_AGE_MS;
    }

    long receivedMs() {
        return receivedMs;
    }

    long countedUntilMs() {
        return countedUntilMs;
    }

    List<ServiceDemand> demand() {
        return demand;
    }
}
