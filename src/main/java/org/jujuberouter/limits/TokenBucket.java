package org.jujuberouter.limits;

/**
 * A token bucket that may go into debt.
 *
 * <p>A use is allowed as long as the balance is positive and is charged in full. A single prompt that exceeds the bucket
 * would otherwise never be admitted; its debt is paid off before anything else is admitted, so the rate still holds.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Seconds of the rate that an idle customer may save up. */
    static final double BURST_SECONDS = 2;

    private double balance;
    private double capacity;
    private long lastNanos;

    private TokenBucket(double rate, long now) {
        capacity = capacity(rate);
        balance = capacity;
        lastNanos = now;
    }

    static TokenBucket full(double rate, long now) {
        return new TokenBucket(rate, now);
    }

    /** Refills at a rate, which may differ from call to call. */
    void refill(double rate, long now) {
        capacity = capacity(rate);
        balance = Math.min(capacity, balance + rate * (now - lastNanos) / NANOS_PER_SECOND);
        lastNanos = now;
    }

    boolean allows(double least) {
        return balance >= least;
    }

    boolean isFull() {
        return balance >= capacity;
    }

    void charge(double amount) {
        balance -= amount;
    }

    double secondsUntil(double least, double rate) {
        return rate > 0 ? Math.max(0, (least - balance) / rate) : Double.MAX_VALUE;
    }

    /** At least one request or token can be saved up, or a small share would never admit anything. */
    private static double capacity(double rate) {
        return rate > 0 ? Math.max(1, rate * BURST_SECONDS) : 0;
    }
}
