package org.jujuberouter.limits;

/** The demand and the usage of one customer of a service at this instance. */
final class CustomerUsage {
    /**
     * Weight of the last interval in the moving average. Shares underestimate the own demand and overestimate that of
     * others, so noise costs capacity: with 0.5 only two thirds of a token limit were usable. With 0.2 the average
     * reaches two thirds of a step in demand after five heartbeats.
     */
    private static final double RATE_SMOOTHING = 0.2;
    /** Requests per second below which the demand counts as zero. */
    private static final double MIN_REQUEST_RATE = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;

    final TokenBucket requests;
    final TokenBucket tokens;
    int activeLong;
    private double requestRate;
    private double tokenRate;
    private long arrivedRequests;
    private long arrivedTokens;
    private int refusedLong;
    private int previousRefusedLong;

    CustomerUsage(TokenBucket requests, TokenBucket tokens) {
        this.requests = requests;
        this.tokens = tokens;
    }

    void recordArrival(long requestTokens) {
        arrivedRequests++;
        arrivedTokens += requestTokens;
    }

    void recordRefusedLong() {
        refusedLong++;
    }

    /** Ends an interval and returns the demand. */
    DemandDigest.Entry digest(LimitKey key, long intervalNanos) {
        double seconds = Math.max(1, intervalNanos) / NANOS_PER_SECOND;
        requestRate += RATE_SMOOTHING * (arrivedRequests / seconds - requestRate);
        tokenRate += RATE_SMOOTHING * (arrivedTokens / seconds - tokenRate);
        if (requestRate < MIN_REQUEST_RATE) {
            requestRate = 0;
            tokenRate = 0;
        }
        arrivedRequests = 0;
        arrivedTokens = 0;
        int refused = refusedLong + previousRefusedLong;
        previousRefusedLong = refusedLong;
        refusedLong = 0;
        return new DemandDigest.Entry(key, requestRate, tokenRate, activeLong, refused);
    }

    /** Returns whether this can be removed: a new, full bucket must not grant more than the old one. */
    boolean isEvictable() {
        boolean idle = requestRate == 0 && activeLong == 0 && previousRefusedLong == 0;
        return idle && requests.isFull() && tokens.isFull();
    }
}
