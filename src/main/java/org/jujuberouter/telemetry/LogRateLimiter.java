package org.jujuberouter.telemetry;

import java.util.EnumMap;
import java.util.Map;
import org.jujuberouter.misc.Ticker;

/**
 * Limits the rate of log lines of an instance, with a token bucket for each kind of line.
 *
 * <p>Lines of failed requests have a separate bucket, so that a high rate of successful requests does not displace
 * them.
 */
public final class LogRateLimiter {
    /** The kind of a log line. */
    public enum Kind {
        /** A successful request; enough for 30 requests per second with two lines each, doubled as headroom. */
        ROUTINE(120),
        /** A request that failed or was refused. */
        FAILURE(200),
        /** A change in the state known to the instance, or its start or stop. */
        STATE(100);

        private final double linesPerSecond;

        Kind(double linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    /** Size of a bucket, in seconds of its rate. */
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

    /** Returns a limiter with full buckets. */
    public static LogRateLimiter of(Ticker ticker) {
        return new LogRateLimiter(ticker);
    }

    /** Acquires a token for one line; if there is none, the line is counted as dropped. */
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

    /** Counts a line that was dropped for another reason. */
    public synchronized void recordDropped(Kind kind) {
        buckets.get(kind).dropped++;
    }

    /** Returns the number of lines dropped so far. */
    public synchronized long droppedCount(Kind kind) {
        return buckets.get(kind).dropped;
    }
}
