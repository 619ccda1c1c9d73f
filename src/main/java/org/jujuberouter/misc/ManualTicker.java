package org.jujuberouter.misc;

import java.time.Duration;

/** A ticker that moves only when told to, for replays and emulations. */
public final class ManualTicker implements Ticker {
    private long nanos;

    private ManualTicker() {}

    /** Returns a ticker that stands at zero. */
    public static ManualTicker atZero() {
        return new ManualTicker();
    }

    /** Moves the time forward. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("time cannot go back by " + step);
        }
        nanos += step.toNanos();
    }

    /** Sets the time, which must not be before the current one. */
    public void advanceTo(long targetNanos) {
        if (targetNanos < nanos) {
            throw new IllegalArgumentException("time cannot go back from " + nanos + " to " + targetNanos);
        }
        nanos = targetNanos;
    }

    @Override
    public long nanos() {
        return nanos;
    }
}
