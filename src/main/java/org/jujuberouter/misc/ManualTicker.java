package org.jujuberouter.misc;

import java.time.Duration;

/** Ticker that advances only on request, for simulations, trace replay and tests. */
public final class ManualTicker implements Ticker {
    private long nanos;

    private ManualTicker() {}

    /** Returns a ticker that starts at zero. */
    public static ManualTicker atZero() {
        return new ManualTicker();
    }

    /** Advances the time by the given step. */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("step must not be negative: " + step);
        }
        nanos += step.toNanos();
    }

    /** Advances the time to the given value, which must not be before the current time. */
    public void advanceTo(long targetNanos) {
        if (targetNanos < nanos) {
            throw new IllegalArgumentException("time must not decrease from " + nanos + " to " + targetNanos);
        }
        nanos = targetNanos;
    }

    @Override
    public long nanos() {
        return nanos;
    }
}
