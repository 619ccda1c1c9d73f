package org.jujuberouter.misc;

import java.util.concurrent.TimeUnit;

/**
 * When a state that is held elsewhere was last confirmed.
 *
 * <p>The monotonic clock stops while a machine is suspended. If it and the wall clock have advanced by different amounts,
 * the age of the confirmation is unknown, and it is discarded until the state is confirmed again. A confirmation of a time
 * before that does not count: a response may have waited at a suspended machine for longer than the clock shows.
 */
public final class Confirmation {
    private final Ticker monotonicClock;
    private final ClockComparison clocks;
    private boolean confirmed;
    private long confirmedAt;
    private boolean discarded;
    private long discardedAt;

    private Confirmation(Ticker monotonicClock, ClockComparison clocks) {
        this.monotonicClock = monotonicClock;
        this.clocks = clocks;
    }

    /** Returns the state before the first confirmation; the clocks may differ by less than the given drift. */
    public static Confirmation none(Ticker monotonicClock, Ticker wallClock, long maxDriftNanos) {
        return new Confirmation(monotonicClock, ClockComparison.start(monotonicClock, wallClock, maxDriftNanos));
    }

    /** Records that the state was confirmed at the given time of the monotonic clock. */
    public void confirmAt(long atNanos) {
        boolean discardedNow = discardOnClockJump();
        if (discardedNow || discarded && atNanos - discardedAt < 0) {
            return;
        }
        if (!confirmed || atNanos - confirmedAt > 0) {
            confirmedAt = atNanos;
        }
        confirmed = true;
    }

    /** Discards the confirmation; those of earlier times do not count any more. */
    public void discard() {
        confirmed = false;
        discarded = true;
        discardedAt = monotonicClock.nanos();
    }

    /** Returns whether the state was confirmed less than the given time ago. */
    public boolean isYoungerThan(long nanos) {
        discardOnClockJump();
        return confirmed && monotonicClock.nanos() - confirmedAt < nanos;
    }

    /** Returns the age of the confirmation in milliseconds, or -1 if it is unknown. */
    public long ageMs() {
        return confirmed ? TimeUnit.NANOSECONDS.toMillis(monotonicClock.nanos() - confirmedAt) : -1;
    }

    private boolean discardOnClockJump() {
        if (!clocks.hasDiverged()) {
            return false;
        }
        clocks.restart();
        discard();
        return true;
    }
}
