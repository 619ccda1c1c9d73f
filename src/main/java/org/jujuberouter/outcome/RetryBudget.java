package org.jujuberouter.outcome;

/**
 * Limits retries to a share of the requests of this instance.
 *
 * <p>Each admitted request adds a tenth of a retry, up to a burst of 10, and each retry consumes one. Even if all
 * requests fail, retries add at most 10% to the load, however many retries a single request needs.
 */
public final class RetryBudget {
    /** Retries added by one request, in thousandths. */
    private static final long EARNED_PER_REQUEST_MILLI = 100;

    private static final long RETRY_MILLI = 1000;
    private static final long BURST_MILLI = 10 * RETRY_MILLI;

    private long balanceMilli = BURST_MILLI;

    private RetryBudget() {}

    /** Returns a full budget. */
    public static RetryBudget full() {
        return new RetryBudget();
    }

    /** Adds the share of one admitted request to the budget. */
    public synchronized void requestAdmitted() {
        balanceMilli = Math.min(BURST_MILLI, balanceMilli + EARNED_PER_REQUEST_MILLI);
    }

    /** Consumes one retry if available. */
    public synchronized boolean tryRetry() {
        if (balanceMilli < RETRY_MILLI) {
            return false;
        }
        balanceMilli -= RETRY_MILLI;
        return true;
    }
}
