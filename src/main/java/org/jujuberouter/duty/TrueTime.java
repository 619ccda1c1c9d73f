package org.jujuberouter.duty;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.ClockComparison;
import org.jujuberouter.misc.Ticker;

/**
 * The true time as this instance knows it: its own wall clock until the leader has corrected it, then the monotonic
 * clock from the last correction on, which steps of the wall clock do not change.
 */
final class TrueTime {
    /** Difference between the clocks that indicates a suspended machine or a step of the wall clock. */
    private static final long MAX_CLOCK_DRIFT_MS = 150;

    private final Ticker monotonicClock;
    private final Ticker wallClock;
    private final ClockComparison clocks;
    private final long startedAt;
    private boolean corrected;
    private long correctedAt;
    private long correctedMs;
    private long reportWallMs;
    private long reportUptimeMs = -1;

    private TrueTime(Ticker monotonicClock, Ticker wallClock) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.startedAt = monotonicClock.nanos();
        this.clocks =
                ClockComparison.start(monotonicClock, wallClock, TimeUnit.MILLISECONDS.toNanos(MAX_CLOCK_DRIFT_MS));
    }

    static TrueTime of(Ticker monotonicClock, Ticker wallClock) {
        return new TrueTime(monotonicClock, wallClock);
    }

    /** Returns the true time in milliseconds since 1970. */
    long nowMs() {
        return corrected ? correctedMs + monotonicClock.millis() - correctedAt : wallMs();
    }

    long wallMs() {
        return TimeUnit.NANOSECONDS.toMillis(wallClock.nanos());
    }

    long uptimeMs() {
        return TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanos() - startedAt);
    }

    /** Records that a report with the current readings of the clocks is sent. */
    void reported() {
        reportWallMs = wallMs();
        reportUptimeMs = uptimeMs();
        clocks.restart();
    }

    /** Returns whether the clocks have diverged since the last report, so that a correction is due. */
    boolean hasJumped() {
        return clocks.hasDiverged();
    }

    /** Returns whether the reply to the last report is known by its uptime to have been received. */
    boolean wasReported(long repliedUptimeMs) {
        return reportUptimeMs >= 0 && repliedUptimeMs >= reportUptimeMs;
    }

    /** Applies the correction from the reply to the last report; that to an earlier one is ignored. */
    void correct(LeaderReply reply) {
        if (reply.uptimeMs() == reportUptimeMs) {
            corrected = true;
            correctedMs = reportWallMs + reply.correctionMs();
            correctedAt = monotonicClock.millis() - (uptimeMs() - reportUptimeMs);
        }
    }
}
