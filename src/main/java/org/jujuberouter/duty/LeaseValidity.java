package org.jujuberouter.duty;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.ClockComparison;
import org.jujuberouter.misc.Ticker;

/**
 * Whether the lease of this instance is certain to be held.
 *
 * <p>The store starts a lease anew when it receives a renewal, which is not before the renewal was sent. The monotonic
 * clock stops while a machine is suspended. If it and the wall clock have advanced by different amounts, the state of
 * the lease is unknown until a renewal that was sent afterwards is acknowledged.
 */
final class LeaseValidity {
    /** Time before the end of the lease from which on it does not count; covers the transit of a call. */
    private static final long SAFETY_MARGIN_MS = 1_000;

    private final Ticker monotonicClock;
    private final ClockComparison clocks;
    private final long usableNanos;
    private boolean confirmed;
    private long confirmedAt;
    private long jumpedAt;

    private LeaseValidity(Ticker monotonicClock, Ticker wallClock, long leaseMs, long thawMs) {
        this.monotonicClock = monotonicClock;
        this.usableNanos = TimeUnit.MILLISECONDS.toNanos(leaseMs - SAFETY_MARGIN_MS);
        // Half, since a wall clock that was set back meanwhile hides a part of a suspension.
        long maxDriftNanos = TimeUnit.MILLISECONDS.toNanos(thawMs) / 2;
        this.clocks = ClockComparison.start(monotonicClock, wallClock, maxDriftNanos);
        this.jumpedAt = monotonicClock.nanos();
    }

    /**
     * Returns the state of an instance without a lease.
     *
     * @param leaseMs duration of the lease
     * @param thawMs shortest suspension that must be noticed
     */
    static LeaseValidity of(Ticker monotonicClock, Ticker wallClock, long leaseMs, long thawMs) {
        return new LeaseValidity(monotonicClock, wallClock, leaseMs, thawMs);
    }

    /** Records that the store has acknowledged a grant or renewal that was sent at the given time. */
    void renewed(long sentNanos) {
        checkClocks();
        if (sentNanos - jumpedAt >= 0 && (!confirmed || sentNanos - confirmedAt > 0)) {
            confirmed = true;
            confirmedAt = sentNanos;
        }
    }

    /** Records that the lease is lost. Renewals that were sent before do not count any more. */
    void lost() {
        confirmed = false;
        jumpedAt = monotonicClock.nanos();
    }

    /** Returns whether the lease is certain to be held now. */
    boolean isCertain() {
        checkClocks();
        return confirmed && monotonicClock.nanos() - confirmedAt < usableNanos;
    }

    private void checkClocks() {
        if (clocks.hasDiverged()) {
            clocks.restart();
            lost();
        }
    }
}
