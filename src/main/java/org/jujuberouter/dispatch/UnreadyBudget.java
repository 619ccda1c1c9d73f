package org.jujuberouter.dispatch;

import org.jujuberouter.misc.Ticker;

/**
 * The time for which an instance may report that it is not ready.
 *
 * <p>It is empty at the start and grows by a twentieth of the time that passes, so an instance is never unready for more
 * than a twentieth of the time since its start.
 */
final class UnreadyBudget {
    private static final double FRACTION = 0.05;

    /** With what is added meanwhile, an instance is unready for less than an eighth of any 67 s. */
    private static final double MAX_MS = 5_000;

    private final Ticker ticker;
    private long updatedNanos;
    private double budgetMs;

    private UnreadyBudget(Ticker ticker) {
        this.ticker = ticker;
        this.updatedNanos = ticker.nanos();
    }

    /** Returns the budget of an instance that starts now. */
    static UnreadyBudget of(Ticker ticker) {
        return new UnreadyBudget(ticker);
    }

    /** Takes the time since the last update into account, for the given part of which the instance was unready. */
    void update(double unreadyMs) {
        long now = ticker.nanos();
        double elapsedMs = (now - updatedNanos) / 1e6;
        updatedNanos = now;
        budgetMs = Math.min(MAX_MS, Math.max(0, budgetMs + elapsedMs * FRACTION - unreadyMs));
    }

    /** Returns the time that is left at the last update, in milliseconds. */
    double ms() {
        return budgetMs;
    }
}
