package org.jujuberouter.limits;

/**
 * A token bucket whose balance may become negative.
 *
 * <p>A request is allowed while the balance is positive, and is charged in full. Otherwise a single prompt larger than
 * the bucket would never be admitted. The negative balance is refilled before anything else is admitted, so the rate
 * still holds.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Size of the bucket, in seconds at its rate. */
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

    /** Refills at the given rate, which may differ from call to call. */
    void refill(double rate, long now) {
        capacity = capacity(rate);
        balance = Math.min(capacity, balance + rate * (now - lastNanos) / NANOS_PER_SECOND);
        lastNanos = now;
    }

    boolean allows(double minimum) {
        return balance >= minimum;
    }

    boolean isFull() {
        return balance >= capacity;
    }

    void charge(double amount) {
        balance -= amount;
    }

    double secondsUntil(double minimum, double rate) {
        return rate > 0 ? Math.max(0, (minimum - balance) / rate) : Double.MAX_VALUE;
    }

    /** Returns the size of the bucket: at least 1, because otherwise a small share would never admit anything. */
    private static double capacity(double rate) {
        return rate > 0 ? Math.max(1, rate * BURST_SECONDS) : 0;
    }
}
