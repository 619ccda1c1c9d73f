package org.jujuberouter.misc;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** The largest value that a quantity has had within a sliding window. */
public final class RecentMaximum {
    private final Ticker ticker;
    private final long windowNanos;
    private final Deque<Former> formerValues = new ArrayDeque<>();
    private int current;

    private record Former(int value, long endedAt) {}

    private RecentMaximum(Ticker ticker, long windowMs, int initial) {
        this.ticker = ticker;
        this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMs);
        this.current = initial;
    }

    /** Returns the maximum of a quantity that has the given value until it is set. */
    public static RecentMaximum of(Ticker ticker, long windowMs, int initial) {
        return new RecentMaximum(ticker, windowMs, initial);
    }

    /** Sets the current value. */
    public void set(int value) {
        if (value < current) {
            // A former value that is not larger than one that ends later is never the maximum.
            while (!formerValues.isEmpty() && formerValues.peekLast().value <= current) {
                formerValues.pollLast();
            }
            formerValues.addLast(new Former(current, ticker.nanos()));
        }
        current = value;
    }

    /** Returns the largest value within the window. */
    public int get() {
        while (!formerValues.isEmpty() && ticker.nanos() - formerValues.peekFirst().endedAt > windowNanos) {
            formerValues.pollFirst();
        }
        return formerValues.isEmpty() ? current : Math.max(current, formerValues.peekFirst().value);
    }
}
