package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The times at which the callers of rejected calls of a service are asked to return.
 *
 * <p>Callers that are rejected together would otherwise return together, and all but the first would be rejected again.
 */
final class RetrySpread {
    /** Number of callers up to which the order of their return is kept; beyond it, the oldest is forgotten. */
    private static final int MAX_RETURNING = 256;

    /** Fraction of the caller's remaining time by which it is asked to return. */
    private static final double MAX_REMAINING_FRACTION = 1 / 3.0;

    private final List<Returning> returning = new ArrayList<>();

    private record Returning(long atNanos, double valuePerMs) {}

    /** Returns the latest time after which a caller that still waits for the given time is asked to return. */
    static double maxMs(double remainingMs) {
        return Math.max(1, remainingMs * MAX_REMAINING_FRACTION);
    }

    /**
     * Returns the time after which the caller of a rejected call returns, in milliseconds.
     *
     * @param foundMs predicted time at which the first of the rejected calls finds room
     * @param intervalMs mean time between two calls that this instance can place
     * @param valuePerMs value of the call by the time of an engine that it uses; higher ones return earlier
     * @param remainingMs time that the caller still waits
     * @param random number from which callers whose time is bounded are spread
     */
    long retryAfterMs(double foundMs, double intervalMs, double valuePerMs, double remainingMs, int random, long now) {
        returning.removeIf(r -> r.atNanos - now <= 0);
        int before = 0;
        for (Returning r : returning) {
            before += r.valuePerMs >= valuePerMs ? 1 : 0;
        }
        double maxMs = maxMs(remainingMs);
        double returnMs = foundMs + before * intervalMs;
        if (returnMs > maxMs) {
            returnMs = maxMs * (1 - Math.floorMod(random, 1_000) / 2_000.0);
        }
        if (returning.size() >= MAX_RETURNING) {
            returning.removeFirst();
        }
        returning.add(new Returning(now + (long) (returnMs * TimeUnit.MILLISECONDS.toNanos(1)), valuePerMs));
        return Math.max(1, (long) returnMs);
    }
}
