package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * How long ago this instance's view of the store was proved to be current.
 *
 * <p>An API key that was withdrawn must not be honoured beyond a bound, also by an instance that cannot hear of it. So an
 * instance honours keys only while its view is younger than that bound. The monotonic clock stands still while a machine is
 * suspended, so a difference between its progress and that of the time of day makes the age unknown, and the view does
 * not count until the store has answered again.
 */
public final class StoreFreshness {
    /** Part of the bound on withdrawn keys for which a view counts; the rest covers delays between check and run. */
    private static final double USABLE_FRACTION = 0.76;

    /** Difference between the clocks that shows a suspended machine or a step of the time of day. */
    private static final long MAX_CLOCK_DRIFT_MS = 150;

    private final Ticker monotonicClock;
    private final Ticker wallClock;
    private final long usableNanos;
    private boolean confirmed;
    private long confirmedAt;
    private long clockOffset;

    private StoreFreshness(Ticker monotonicClock, Ticker wallClock, long withdrawalBoundMs) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.usableNanos = (long) (TimeUnit.MILLISECONDS.toNanos(withdrawalBoundMs) * USABLE_FRACTION);
        this.clockOffset = wallClock.nanos() - monotonicClock.nanos();
    }

    /** Returns a contact that has not been made. */
    public static StoreFreshness of(Ticker monotonicClock, Ticker wallClock, long withdrawalBoundMs) {
        return new StoreFreshness(monotonicClock, wallClock, withdrawalBoundMs);
    }

    /** Notes that the view held the state of the store at the given moment of the steady clock. */
    public void confirmAt(long atNanos) {
        boolean clockJumped = invalidateOnClockJump();
        if (clockJumped) {
            return;
        }
        if (!confirmed || atNanos > confirmedAt) {
            confirmedAt = atNanos;
        }
        confirmed = true;
    }

    /** Tells whether the view may still be used. */
    public boolean isCurrent() {
        invalidateOnClockJump();
        return confirmed && monotonicClock.nanos() - confirmedAt < usableNanos;
    }

    /** Returns the age of the view in milliseconds, or -1 where it is not known. */
    public long ageMs() {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanos() - confirmedAt) : -1;
    }

    /** Forgets the contact when the clocks ran apart; returns whether they did. */
    private boolean invalidateOnClockJump() {
        long currentOffset = wallClock.nanos() - monotonicClock.nanos();
        if (Math.abs(currentOffset - clockOffset) < TimeUnit.MILLISECONDS.toNanos(MAX_CLOCK_DRIFT_MS)) {
            return false;
        }
        clockOffset = currentOffset;
        confirmed = false;
        return true;
    }
}
