package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Limits retries to a fraction of the requests in a sliding window.
 *
 * <p>The operator's retry budget applies to all instances together. Each instance uses the ratio of its own requests,
 * which adds up to the ratio of all requests, and an equal part of the fixed slack.
 */
public final class RetryLimiter {
    /** Fraction of the budget that is used; the rest covers instances that are not yet counted. */
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

    /** Returns a limiter without recorded requests and retries. */
    public static RetryLimiter of(Ticker ticker, long windowMs, double ratio, int slack) {
        return new RetryLimiter(ticker, windowMs, ratio, slack);
    }

    /** Records a request. */
    public void recordRequest() {
        requests.addLast(ticker.nanos());
        evictExpired(requests);
    }

    /** Acquires a retry if this instance's part of the budget, among the given number of instances, permits it. */
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
