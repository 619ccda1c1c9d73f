package org.jujuberouter.entry;

import org.HdrHistogram.IntCountsHistogram;
import org.jujuberouter.misc.Ticker;

/** Records the latencies and the token count of one request for metrics and the access log. */
final class RequestObserver {
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long MAX_RECORDED_GAP_MICROS = 3_600_000_000L;
    private static final double GAP_PERCENTILE = 95;

    private final Ticker ticker;
    private final long arrivedNanos;
    private IntCountsHistogram gaps;
    private long firstTokenNanos = -1;
    private long lastTokenNanos;
    private long tokens;

    private RequestObserver(Ticker ticker, long arrivedNanos) {
        this.ticker = ticker;
        this.arrivedNanos = arrivedNanos;
    }

    static RequestObserver of(Ticker ticker, long arrivedNanos) {
        return new RequestObserver(ticker, arrivedNanos);
    }

    void recordTokens(int count) {
        long now = ticker.nanos();
        if (firstTokenNanos < 0) {
            firstTokenNanos = now - arrivedNanos;
        } else {
            recordGap(now - lastTokenNanos);
        }
        lastTokenNanos = now;
        tokens += count;
    }

    private void recordGap(long nanos) {
        if (gaps == null) {
            gaps = new IntCountsHistogram(MAX_RECORDED_GAP_MICROS, 2);
        }
        gaps.recordValue(Math.min(MAX_RECORDED_GAP_MICROS, nanos / NANOS_PER_MICRO));
    }

    /** Returns the time to the first token, or -1 if there was none. */
    long firstTokenNanos() {
        return firstTokenNanos;
    }

    /** Returns the 95th percentile of the times between chunks of the response, or -1 if there were fewer than two. */
    long gapPercentileNanos() {
        return gaps == null ? -1 : gaps.getValueAtPercentile(GAP_PERCENTILE) * NANOS_PER_MICRO;
    }

    long totalNanos() {
        return ticker.nanos() - arrivedNanos;
    }

    long tokens() {
        return tokens;
    }
}
