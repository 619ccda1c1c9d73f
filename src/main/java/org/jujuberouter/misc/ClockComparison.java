package org.jujuberouter.misc;

/**
 * Compares the wall clock with the monotonic clock, which stops while a machine is suspended. If they have advanced by
 * different amounts, the machine was suspended or the wall clock was stepped.
 */
public final class ClockComparison {
    private final Ticker monotonicClock;
    private final Ticker wallClock;
    private final long limitNanos;
    private long offset;

    private ClockComparison(Ticker monotonicClock, Ticker wallClock, long limitNanos) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.limitNanos = limitNanos;
        restart();
    }

    /** Starts a comparison; the clocks have diverged once they differ by the limit. */
    public static ClockComparison start(Ticker monotonicClock, Ticker wallClock, long limitNanos) {
        return new ClockComparison(monotonicClock, wallClock, limitNanos);
    }

    /** Returns whether the clocks have diverged since the last restart. */
    public boolean hasDiverged() {
        return Math.abs(currentOffset() - offset) >= limitNanos;
    }

    /** Compares with the present difference of the clocks from now on. */
    public void restart() {
        offset = currentOffset();
    }

    private long currentOffset() {
        return wallClock.nanos() - monotonicClock.nanos();
    }
}
