package org.jujuberouter.entry;

import org.jujuberouter.misc.Ticker;

/** Notes the times of one request for metrics and the access log. */
final class RequestObserver {
    private final Ticker ticker;
    private final long arrivedNanos;
    private long firstTokenNanos = -1;
    private long lastTokenNanos = -1;
    private long tokens;
    private long longestGapNanos;
    private int identicalWaits;

    private RequestObserver(Ticker ticker, long arrivedNanos) {
        this.ticker = ticker;
        this.arrivedNanos = arrivedNanos;
    }

    static RequestObserver of(Ticker ticker, long arrivedNanos) {
        return new RequestObserver(ticker, arrivedNanos);
    }

    void delivered(int count) {
        long now = ticker.nanos();
        if (firstTokenNanos < 0) {
            firstTokenNanos = now - arrivedNanos;
        } else {
            longestGapNanos = Math.max(longestGapNanos, now - lastTokenNanos);
        }
        lastTokenNanos = now;
        tokens += count;
    }

    void waitsForIdentical() {
        identicalWaits++;
    }

    /** Returns the time to first token, or -1 when none came. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }

    /** Returns the mean time between tokens, or -1 when fewer than two came. */
    long meanGapNanos() {
        long span = lastTokenNanos - arrivedNanos - firstTokenNanos;
        return tokens < 2 ? -1 : span / (tokens - 1);
    }

    long totalNanos() {
        return ticker.nanos() - arrivedNanos;
    }

    long tokens() {
        return tokens;
    }

    int identicalWaits() {
        return identicalWaits;
    }
}
