package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Limits retries to a fraction of the requests in a sliding window.
 *
 * <p>The operator's retry budget applies to all instances together. Each instance uses the ratio of its own requests,
 * which adds up to the ratio of all requests, and an equal part of the fixed slack. An instance that restarts knows
 * neither what it used before nor how many instances shared the slack, so it uses none of that in the first window.
 */
public final class RetryLimiter {
    /** Fraction of the budget that is used; the rest covers instances that are not yet counted. */
    private static final double USABLE_FRACTION = 0.8;

    private final Ticker ticker;
    private final long windowNanos;
    private final double ratio;
    private final int slack;
    private final long startedAt;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private RetryLimiter(Ticker ticker, long windowMs, double ratio, int slack, long startedAt) {
        this.ticker = ticker;
        this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMs);
        this.ratio = ratio;
        this.slack = slack;
        this.startedAt = startedAt;
    }

    /** Returns a limiter without recorded requests and retries, of an instance that started at the given time. */
    public static RetryLimiter of(Ticker ticker, long windowMs, double ratio, int slack, long startedAtNanos) {
        return new RetryLimiter(ticker, windowMs, ratio, slack, startedAtNanos);
    }

    /** Records a request. */
    public void recordRequest() {
        requests.addLast(ticker.nanos());
        evictExpired(requests);
    }

    /**
     * Acquires a retry if this instance's part of the budget permits it.
     *
     * @param instances the largest number of instances within the window, which may all have used their part
     */
    public boolean tryAcquire(int instances) {
        evictExpired(requests);
        evictExpired(retries);
        boolean sharesSlack = ticker.nanos() - startedAt > windowNanos;
        double slackPart = sharesSlack ? (double) slack / Math.max(1, instances) : 0;
        double allowed = USABLE_FRACTION * (ratio * requests.size() + slackPart);
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
