package org.jujuberouter.limits;

/** What one customer asks of and uses at this instance. */
final class CustomerUse {
    /**
     * Weight of the last interval. Shares count the own demand low and that of others high, so noise costs capacity: with
     * 0.5 only two thirds of a token limit were usable. With 0.2 a step of demand takes five heartbeats to two thirds.
     */
    private static final double SMOOTHING = 0.2;
    /** Demand below this is forgotten. */
    private static final double NO_DEMAND = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;

    final TokenBucket requests;
    final TokenBucket tokens;
    int activeLong;
    private double requestRate;
    private double tokenRate;
    private long arrivedRequests;
    private long arrivedTokens;
    private int refusedLong;
    private int refusedLongBefore;

    CustomerUse(TokenBucket requests, TokenBucket tokens) {
        this.requests = requests;
        this.tokens = tokens;
    }

    void arrived(long promptAndAnswer) {
        arrivedRequests++;
        arrivedTokens += promptAndAnswer;
    }

    void refusedLong() {
        refusedLong++;
    }

    /** Closes an interval and returns its demand. */
    DemandDigest.Entry digest(LimitKey key, long intervalNanos) {
        double seconds = Math.max(1, intervalNanos) / NANOS_PER_SECOND;
        requestRate += SMOOTHING * (arrivedRequests / seconds - requestRate);
        tokenRate += SMOOTHING * (arrivedTokens / seconds - tokenRate);
        if (requestRate < NO_DEMAND) {
            requestRate = 0;
            tokenRate = 0;
        }
        arrivedRequests = 0;
        arrivedTokens = 0;
        int refused = refusedLong + refusedLongBefore;
        refusedLongBefore = refusedLong;
        refusedLong = 0;
        return new DemandDigest.Entry(key, requestRate, tokenRate, activeLong, refused);
    }

    /** A use may be forgotten only when a new full bucket would grant no more than the old one. */
    boolean mayBeForgotten() {
        boolean idle = requestRate == 0 && activeLong == 0 && refusedLongBefore == 0;
        return idle && requests.isFull() && tokens.isFull();
    }
}
