package org.jujuberouter.duty;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/** Keeps the calls of a leader below the rate limit of the platform, which counts them by the second. */
final class CallRate {
    /** Time added to each period, since calls that were sent further apart may arrive closer together. */
    private static final long MARGIN_MS = 50;

    private final Ticker ticker;
    private final int limit;
    private final long periodNanos;
    private final Deque<Long> recent = new ArrayDeque<>();

    private CallRate(Ticker ticker, int limit, long periodNanos) {
        this.ticker = ticker;
        this.limit = limit;
        this.periodNanos = periodNanos;
    }

    static CallRate of(Ticker ticker, double callsPerSecond) {
        int limit = Math.max(1, (int) callsPerSecond);
        long period = (long) (limit / callsPerSecond * TimeUnit.SECONDS.toNanos(1));
        return new CallRate(ticker, limit, period + TimeUnit.MILLISECONDS.toNanos(MARGIN_MS));
    }

    /** Takes the right to one call; returns false if the limit is used up. */
    boolean tryAcquire() {
        long now = ticker.nanos();
        while (!recent.isEmpty() && now - recent.peekFirst() >= periodNanos) {
            recent.removeFirst();
        }
        return recent.size() < limit && recent.add(now);
    }
}
