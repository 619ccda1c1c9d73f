package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Decides when an instance that lags asks to report that it is not ready, and when it is ready again.
 *
 * <p>An instance that is not ready gets no new connections, so its lag goes down while the others take its calls.
 */
public final class ReadinessControl {
    /** Half of the shortest latency objective, 300 ms, so that the instance becomes unready before it rejects calls. */
    private static final double HIGH_DELAY_MS = 150;

    /** Half of the upper bound, so that a delay near one bound does not change the state again and again. */
    private static final double LOW_DELAY_MS = 75;

    /** Time for which the delay has to be high; one that comes and goes every second is not. */
    private static final long HIGH_FOR_MS = 2_000;

    /** Time below the lower bound that ends a high delay; rejections bring it down for shorter times. */
    private static final long HIGH_ENDS_MS = 500;

    /** Time for which the delay has to be low before the instance is ready again. */
    private static final long LOW_FOR_MS = 1_000;

    /** The platform needs up to 2 s to take an unready instance out, so that less time has no effect. */
    private static final double MIN_USEFUL_MS = 3_000;

    /** Time after which an unanswered query is repeated. */
    private static final long ASK_INTERVAL_MS = 500;

    private final Ticker ticker;
    private final UnreadyBudget budget;
    private long observedNanos;
    private long highSinceNanos;
    private long lowSinceNanos;
    private boolean high;
    private boolean low;
    private boolean listIsCurrent;
    private boolean unready;
    private long unreadyUntilNanos;
    private boolean asked;
    private long askedNanos;
    private long periods;
    private double totalUnreadyMs;

    private ReadinessControl(Ticker ticker) {
        this.ticker = ticker;
        this.budget = UnreadyBudget.of(ticker);
        this.observedNanos = ticker.nanos();
    }

    /** Returns the control of an instance that starts now. */
    public static ReadinessControl of(Ticker ticker) {
        return new ReadinessControl(ticker);
    }

    /**
     * Records the delay by which this instance makes calls late.
     *
     * @param current whether this instance knows which instances there are
     */
    public void observe(double delayMs, boolean current) {
        account();
        long now = ticker.nanos();
        listIsCurrent = current;
        boolean isLow = delayMs < LOW_DELAY_MS;
        lowSinceNanos = isLow && !low ? now : lowSinceNanos;
        low = isLow;
        boolean isHigh = delayMs >= HIGH_DELAY_MS || high && !(low && isOlder(lowSinceNanos, HIGH_ENDS_MS));
        highSinceNanos = isHigh && !high ? now : highSinceNanos;
        high = isHigh;
        boolean recovered = low && isOlder(lowSinceNanos, LOW_FOR_MS);
        if (unready && (isExpired() || recovered || !listIsCurrent)) {
            unready = false;
            high = false;
        }
    }

    /** Returns for how long to ask to be unready now, in milliseconds; 0 if this instance does not ask. */
    public long toAskMs() {
        boolean lags = high && isOlder(highSinceNanos, HIGH_FOR_MS);
        boolean mayAsk = !unready && listIsCurrent && budget.ms() >= MIN_USEFUL_MS;
        if (!lags || !mayAsk || asked && !isOlder(askedNanos, ASK_INTERVAL_MS)) {
            return 0;
        }
        asked = true;
        askedNanos = ticker.nanos();
        return (long) budget.ms();
    }

    /** Handles a grant of the given time, which counts from the time at which it was asked for. */
    public void granted(long queryNanos, long ms) {
        long until = queryNanos + TimeUnit.MILLISECONDS.toNanos(ms);
        if (unready || !high || !listIsCurrent || until <= ticker.nanos()) {
            return;
        }
        account();
        unready = true;
        unreadyUntilNanos = Math.min(until, ticker.nanos() + (long) (budget.ms() * 1e6));
        periods++;
    }

    /** Returns whether the instance may report that it is ready. */
    public boolean isReady() {
        return !unready || isExpired();
    }

    /** Returns how often the instance has become unready. */
    public long periods() {
        return periods;
    }

    /** Returns for how long the instance has been unready in total, in milliseconds. */
    public long totalUnreadyMs() {
        return (long) totalUnreadyMs;
    }

    private void account() {
        long now = ticker.nanos();
        double unreadyMs = unready ? Math.max(0, Math.min(now, unreadyUntilNanos) - observedNanos) / 1e6 : 0;
        observedNanos = now;
        totalUnreadyMs += unreadyMs;
        budget.update(unreadyMs);
    }

    private boolean isExpired() {
        return ticker.nanos() >= unreadyUntilNanos;
    }

    private boolean isOlder(long sinceNanos, long ms) {
        return ticker.nanos() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
