package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.ClockComparison;
import org.jujuberouter.misc.Ticker;

/**
 * The age of this instance's view of the store.
 *
 * <p>A revoked API key must not be accepted longer than a given bound, even by an instance that is disconnected from
 * the store. An instance therefore accepts API keys only while its view is younger than that bound. The monotonic clock
 * stops while a machine is suspended. If it and the wall clock have advanced by different amounts, the age of the view
 * is unknown, and the view is not used until the store has answered again.
 */
public final class StoreFreshness {
    /**
     * Fraction of the revocation bound for which a view is used; the rest covers delays between check and execution.
     */
    private static final double USABLE_FRACTION = 0.76;

    /** Difference between the clocks that indicates a suspended machine or a step of the wall clock. */
    private static final long MAX_CLOCK_DRIFT_MS = 150;

    private final Ticker monotonicClock;
    private final ClockComparison clocks;
    private final long usableNanos;
    private boolean confirmed;
    private long confirmedAt;
    private boolean jumped;
    private long jumpedAt;

    private StoreFreshness(Ticker monotonicClock, Ticker wallClock, long revocationBoundMs) {
        this.monotonicClock = monotonicClock;
        this.clocks =
                ClockComparison.start(monotonicClock, wallClock, TimeUnit.MILLISECONDS.toNanos(MAX_CLOCK_DRIFT_MS));
        this.usableNanos = (long) (TimeUnit.MILLISECONDS.toNanos(revocationBoundMs) * USABLE_FRACTION);
    }

    /** Returns the state before the store has been read. */
    public static StoreFreshness of(Ticker monotonicClock, Ticker wallClock, long revocationBoundMs) {
        return new StoreFreshness(monotonicClock, wallClock, revocationBoundMs);
    }

    /**
     * Records that the view matched the store at the given time of the monotonic clock. A time before the last jump of
     * the clocks is ignored: a response may have waited at a suspended machine for longer than that clock shows.
     */
    public void confirmAt(long atNanos) {
        boolean jumpedNow = invalidateOnClockJump();
        if (jumpedNow || jumped && atNanos < jumpedAt) {
            return;
        }
        if (!confirmed || atNanos > confirmedAt) {
            confirmedAt = atNanos;
        }
        confirmed = true;
    }

    /** Returns whether the view may still be used. */
    public boolean isCurrent() {
        invalidateOnClockJump();
        return confirmed && monotonicClock.nanos() - confirmedAt < usableNanos;
    }

    /** Returns the age of the view in milliseconds, or -1 if it is unknown. */
    public long ageMs() {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanos() - confirmedAt) : -1;
    }

    /** Discards the confirmation if the clocks have diverged; returns whether they have. */
    private boolean invalidateOnClockJump() {
        if (!clocks.hasDiverged()) {
            return false;
        }
        clocks.restart();
        confirmed = false;
        jumped = true;
        jumpedAt = monotonicClock.nanos();
        return true;
    }
}
