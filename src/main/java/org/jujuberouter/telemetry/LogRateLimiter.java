package org.jujuberouter.telemetry;

import java.util.EnumMap;
import java.util.Map;
import org.jujuberouter.misc.Ticker;

/**
 * Bounds the log lines of an instance for each class of lines, by a token bucket each.
 *
 * <p>Lines of failed requests have a bucket of their own, so that many requests that go well do not displace them.
 */
public final class LogRateLimiter {
    /** What a line is about. */
    public enum Kind {
        /** A request that goes as it should; 30 requests a second with two lines each and as much again. */
        ROUTINE(120),
        /** A request that failed or was refused. */
        FAILURE(200),
        /** A change of what the instance believes, a start or a stop. */
        STATE(100);

        private final double linesPerSecond;

        Kind(double linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    /** Seconds of the rate that a burst may use at once. */
    private static final double BURST_SECONDS = 3;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private final Map<Kind, Bucket> buckets = new EnumMap<>(Kind.class);

    private static final class Bucket {
        private double tokens;
        private long refilledAt;
        private long dropped;
    }

    private LogRateLimiter(Ticker ticker) {
        this.ticker = ticker;
        for (Kind kind : Kind.values()) {
            Bucket bucket = new Bucket();
            bucket.tokens = kind.linesPerSecond * BURST_SECONDS;
            bucket.refilledAt = ticker.nanos();
            buckets.put(kind, bucket);
        }
    }

    /** Returns a budget of which nothing is used. */
    public static LogRateLimiter of(Ticker ticker) {
        return new LogRateLimiter(ticker);
    }

    /** Takes room for one line; where there is none, the line counts as left out. */
    public synchronized boolean tryAcquire(Kind kind) {
        Bucket bucket = buckets.get(kind);
        long now = ticker.nanos();
        double refill = (now - bucket.refilledAt) / NANOS_PER_SECOND * kind.linesPerSecond;
        bucket.tokens = Math.min(kind.linesPerSecond * BURST_SECONDS, bucket.tokens + refill);
        bucket.refilledAt = now;
        if (bucket.tokens < 1) {
            bucket.dropped++;
            return false;
        }
        bucket.tokens--;
        return true;
    }

    /** Counts a line that was left out for another reason. */
    public synchronized void recordDropped(Kind kind) {
        buckets.get(kind).dropped++;
    }

    /** Returns the lines left out so far. */
    public synchronized long droppedCount(Kind kind) {
        return buckets.get(kind).dropped;
    }
}
