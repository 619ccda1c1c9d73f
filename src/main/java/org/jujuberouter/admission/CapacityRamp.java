package org.jujuberouter.admission;

import java.time.Duration;

/**
 * The bound on the load of one endpoint, derived from its reports.
 *
 * <p>The bound starts at the cold capacity and doubles with every {@link #DOUBLING_PERIOD} of healthy reports, because
 * the caches of an endpoint that just became warm are empty. A report of a cold start or of another boot number resets
 * it at once. Without a recent report the bound is zero: the endpoint may have restarted, and a restart takes longer
 * than the maximum age of a report plus the validity of a permit.
 */
final class CapacityRamp {
    static final Duration DOUBLING_PERIOD = Duration.ofSeconds(5);

    /** Age above which a report is ignored: two report periods. */
    static final Duration MAX_REPORT_AGE = Duration.ofSeconds(2);

    private static final long MAX_REPORT_AGE_NANOS = MAX_REPORT_AGE.toNanos();

    private EndpointReport latest;
    private long latestRequestedAtNanos;
    private long healthyNanos;
    private boolean healthy;
    private boolean invalidated;
    private long invalidatedAt;

    /** Records a report; its age counts from the time of its request, so that it is never underestimated. */
    void report(EndpointReport report, long requestedAtNanos) {
        if (latest != null && (requestedAtNanos - latestRequestedAtNanos < 0 || report.boot() < latest.boot())) {
            return;
        }
        if (invalidated && requestedAtNanos - invalidatedAt < 0) {
            return;
        }
        boolean restarted = latest != null && report.boot() != latest.boot();
        if (report.cold() || restarted || latest == null) {
            healthyNanos = 0;
        } else if (healthy && requestedAtNanos - latestRequestedAtNanos <= MAX_REPORT_AGE_NANOS) {
            healthyNanos += requestedAtNanos - latestRequestedAtNanos;
        }
        healthy = !report.cold();
        latest = report;
        latestRequestedAtNanos = requestedAtNanos;
        invalidated = false;
    }

    /** Sets the bound to zero until a report arrives that was requested after now. */
    void invalidate(long now) {
        invalidated = true;
        invalidatedAt = now;
    }

    /** Raises the bound of a healthy endpoint to the number of slots that it was observed to use. */
    void raiseTo(long slots) {
        if (latest == null || !healthy) {
            return;
        }
        while (currentBound().slots() < Math.min(slots, latest.warmCapacity().slots())) {
            healthyNanos += DOUBLING_PERIOD.toNanos();
        }
    }

    boolean isFresh(long now) {
        return latest != null && !invalidated && now - latestRequestedAtNanos <= MAX_REPORT_AGE_NANOS;
    }

    /** Returns whether reports have been missing for so long that requests should not wait for the next one. */
    boolean isOverdue(long now) {
        return latest == null || now - latestRequestedAtNanos > 2 * MAX_REPORT_AGE_NANOS;
    }

    boolean leaving() {
        return latest != null && latest.leaving();
    }

    Capacity bound(long now) {
        return isFresh(now) ? currentBound() : Capacity.NONE;
    }

    /** Returns the warm capacity of the endpoint, or none before the first report. */
    Capacity warm() {
        return latest == null ? Capacity.NONE : latest.warmCapacity();
    }

    private Capacity currentBound() {
        int doublings = healthy ? (int) (healthyNanos / DOUBLING_PERIOD.toNanos()) : 0;
        Capacity cold = latest.coldCapacity();
        if (doublings > 0 && cold.slots() == 0) {
            return latest.warmCapacity();
        }
        return cold.doubled(doublings, latest.warmCapacity());
    }
}
