package org.jujuberouter.outcome;

/**
 * Limits retries to a share of the requests of this instance.
 *
 * <p>Each request adds a tenth of a retry, up to a burst of 10, and each retry takes one. When an outage makes everything
 * fail, retries therefore add at most 10 % to the load, whatever the number of attempts that a single request asks for.
 */
public final class RetryBudget {
    /** Retries earned by one request, in thousandths. */
    private static final long EARNED_PER_REQUEST_MILLI = 100;

    private static final long RETRY_MILLI = 1000;
    private static final long BURST_MILLI = 10 * RETRY_MILLI;

    private long balanceMilli = BURST_MILLI;

    private RetryBudget() {}

    /** Returns a full budget. */
    public static RetryBudget full() {
        return new RetryBudget();
    }

    /** Counts one admitted request. */
    public synchronized void requestAdmitted() {
        balanceMilli = Math.min(BURST_MILLI, balanceMilli + EARNED_PER_REQUEST_MILLI);
    }

    /** Takes one retry from the budget, if there is one. */
    public synchronized boolean tryRetry() {
        if (balanceMilli < RETRY_MILLI) {
            return false;
        }
        balanceMilli -= RETRY_MILLI;
        return true;
    }
}
