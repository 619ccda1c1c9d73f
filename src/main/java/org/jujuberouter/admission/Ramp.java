package org.jujuberouter.admission;

import java.time.Duration;

/**
 * The bound of one endpoint, from its reports.
 *
 * <p>It starts at the cold bound and doubles with every {@link #DOUBLING} of healthy reports, because an endpoint that just
 * became warm has empty caches. A report that says cold or shows another boot number sets it back at once. Without a recent
 * report the bound is nothing: the endpoint may have restarted, and a restart takes longer than the report's age plus the
 * life of a permit.
 */
final class Ramp {
    static final Duration DOUBLING = Duration.ofSeconds(5);

    /** Age at which a report no longer counts: two report periods. */
    static final Duration FRESH = Duration.ofSeconds(2);

    private static final long FRESH_NANOS = FRESH.toNanos();

    private EndpointReport latest;
    private long askedAt;
    private long healthyNanos;
    private boolean healthy;
    private boolean distrusted;
    private long distrustedAt;

    /** Takes in a report; {@code asked} is when it was requested, so that its age is never underestimated. */
    void report(EndpointReport report, long asked) {
        if (latest != null && (asked - askedAt < 0 || report.boot() < latest.boot())) {
            return;
        }
        if (distrusted && asked - distrustedAt < 0) {
            return;
        }
        boolean restarted = latest != null && report.boot() != latest.boot();
        if (report.cold() || restarted || latest == null) {
            healthyNanos = 0;
        } else if (healthy && asked - askedAt <= FRESH_NANOS) {
            healthyNanos += asked - askedAt;
        }
        healthy = !report.cold();
        latest = report;
        askedAt = asked;
        distrusted = false;
    }

    /** Makes the bound nothing until a report is requested after now. */
    void distrust(long now) {
        distrusted = true;
        distrustedAt = now;
    }

    /** Raises the ramp of a healthy endpoint to what it was seen to hold already. */
    void heldAlready(long slots) {
        if (latest == null || !healthy) {
            return;
        }
        while (level().slots() < Math.min(slots, latest.warmCapacity().slots())) {
            healthyNanos += DOUBLING.toNanos();
        }
    }

    boolean fresh(long now) {
        return latest != null && !distrusted && now - askedAt <= FRESH_NANOS;
    }

    /** Tells whether reports have been missing for so long that waiting for the next one is no use. */
    boolean lost(long now) {
        return latest == null || now - askedAt > 2 * FRESH_NANOS;
    }

    boolean leaving() {
        return latest != null && latest.leaving();
    }

    Capacity bound(long now) {
        return fresh(now) ? level() : Capacity.NONE;
    }

    /** Returns what the endpoint holds when warm, or nothing before the first report. */
    Capacity warm() {
        return latest == null ? Capacity.NONE : latest.warmCapacity();
    }

    private Capacity level() {
        int doublings = healthy ? (int) (healthyNanos / DOUBLING.toNanos()) : 0;
        Capacity cold = latest.coldCapacity();
        if (doublings > 0 && cold.slots() == 0) {
            return latest.warmCapacity();
        }
        return cold.doubled(doublings, latest.warmCapacity());
    }
}
