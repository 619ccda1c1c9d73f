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
 * neither what it used before nor how many instances shared the slack, so for one window it uses only a part of what
 * all instances leave unused.
 */
public final class RetryLimiter {
    /** Fraction of the budget that is used; the rest covers instances that are not yet counted. */
    private static final double USABLE_FRACTION = 0.8;

    /** Number of instances that is assumed to share what is left unused, since others may be restarting as well. */
    private static final int MIN_RESTARTING_INSTANCES = 16;

    private final Ticker ticker;
    private final long windowNanos;
    private final double ratio;
    private final int slack;
    private final long fullSlackAt;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    private RetryLimiter(Ticker ticker, long windowMs, double ratio, int slack, long fullSlackAt) {
        this.ticker = ticker;
        this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMs);
        this.ratio = ratio;
        this.slack = slack;
        this.fullSlackAt = fullSlackAt;
    }

    /**
     * Returns a limiter without recorded requests and retries.
     *
     * @param fullSlackAtNanos time from which on the instance uses its part of the slack
     */
    public static RetryLimiter of(Ticker ticker, long windowMs, double ratio, int slack, long fullSlackAtNanos) {
        return new RetryLimiter(ticker, windowMs, ratio, slack, fullSlackAtNanos);
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
        double allowed = USABLE_FRACTION * ratio * requests.size() + slackPart(instances);
        if (retries.size() + 1 > allowed) {
            return false;
        }
        retries.addLast(ticker.nanos());
        return true;
    }

    private double slackPart(int instances) {
        return ticker.nanos() - fullSlackAt >= 0
                ? USABLE_FRACTION * slack / Math.max(1, instances)
                : (1 - USABLE_FRACTION) * slack / Math.max(MIN_RESTARTING_INSTANCES, instances);
    }

    private void evictExpired(Deque<Long> times) {
        while (!times.isEmpty() && ticker.nanos() - times.peekFirst() > windowNanos) {
            times.pollFirst();
        }
    }
}
