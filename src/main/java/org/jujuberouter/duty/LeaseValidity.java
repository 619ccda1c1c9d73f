package org.jujuberouter.duty;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Confirmation;
import org.jujuberouter.misc.Ticker;

/**
 * Whether the lease of this instance is certain to be held.
 *
 * <p>The store starts a lease anew when it receives a renewal, which is not before the renewal was sent. After a suspension
 * of the machine, the state of the lease is unknown until a renewal that was sent afterwards is acknowledged.
 */
final class LeaseValidity {
    /** Time before the end of the lease from which on it does not count; covers the transit of a call. */
    private static final long SAFETY_MARGIN_MS = 1_000;

    private final Confirmation renewal;
    private final long usableNanos;

    private LeaseValidity(Confirmation renewal, long usableNanos) {
        this.renewal = renewal;
        this.usableNanos = usableNanos;
        lost();
    }

    /**
     * Returns the state of an instance without a lease.
     *
     * @param leaseMs duration of the lease
     * @param thawMs shortest suspension that must be noticed
     */
    static LeaseValidity of(Ticker monotonicClock, Ticker wallClock, long leaseMs, long thawMs) {
        // Half, since a wall clock that was set back meanwhile hides a part of a suspension.
        long maxDriftNanos = TimeUnit.MILLISECONDS.toNanos(thawMs) / 2;
        return new LeaseValidity(
                Confirmation.none(monotonicClock, wallClock, maxDriftNanos),
                TimeUnit.MILLISECONDS.toNanos(leaseMs - SAFETY_MARGIN_MS));
    }

    /** Records that the store has acknowledged a grant or renewal that was sent at the given time. */
    void renewed(long sentNanos) {
        renewal.confirmAt(sentNanos);
    }

    /** Records that the lease is lost. Renewals that were sent before do not count any more. */
    void lost() {
        renewal.discard();
    }

    /** Returns whether the lease is certain to be held now. */
    boolean isCertain() {
        return renewal.isYoungerThan(usableNanos);
    }
}
