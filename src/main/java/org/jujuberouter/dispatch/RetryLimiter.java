package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Limits second attempts to a share of the requests in a sliding window.
 *
 * <p>The operators' budget holds for all instances together. Each takes the ratio of its own requests, which sums up to
 * the whole ratio, and an even part of the fixed slack.
 */
public final class RetryLimiter {
    /** Part of the budget that is used; the rest covers instances that the count misses. */
    private static final double USABLE_FRACTION = 0.8;

    private final Ticker ticker;
    private final long windowNanos;
    private final double ratio;
    private final int slack;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private RetryLimiter(Ticker ticker, long windowMs, double ratio, int slack) {
        this.ticker = ticker;
        this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMs);
        this.ratio = ratio;
        this.slack = slack;
    }

    /** Returns an allowance of which nothing is used. */
    public static RetryLimiter of(Ticker ticker, long windowMs, double ratio, int slack) {
        return new RetryLimiter(ticker, windowMs, ratio, slack);
    }

    /** Counts one request. */
    public void recordRequest() {
        requests.addLast(ticker.nanos());
        evictExpired(requests);
    }

    /** Takes one retry, if the budget allows it for an instance among the given number. */
    public boolean tryAcquire(int instances) {
        evictExpired(requests);
        evictExpired(retries);
        double allowed = USABLE_FRACTION * (ratio * requests.size() + (double) slack / Math.max(1, instances));
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(ticker.nanos());
        return true;
    }

    private void evictExpired(Deque<Long> times) {
        while (!times.isEmpty() && ticker.nanos() - times.peekFirst() > windowNanos) {
            times.pollFirst();
        }
    }
}
