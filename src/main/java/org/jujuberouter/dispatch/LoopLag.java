package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.RecentMedian;
import org.jujuberouter.misc.Ticker;

/**
 * How late the event loop of an instance runs a timer.
 *
 * <p>The lag is a median, so a process that is frozen once, for any time, does not lag.
 */
public final class LoopLag {
    /**
     * Time between two runs of the timer. Waking up an idle loop takes 0.08% of a core at this interval and 0.16% at 100 ms;
     * the measurement may take 0.1%.
     */
    public static final long INTERVAL_MS = 250;

    /** Two late runs, a freeze and the backlog right after it, do not count. */
    private static final int SAMPLES = 5;

    /** Longer than five runs that are each delayed by the longest latency objective. */
    private static final long MAX_AGE_MS = 60_000;

    private final Ticker ticker;
    private final RecentMedian delaysMs;
    private long lastRunNanos;

    private LoopLag(Ticker ticker) {
        this.ticker = ticker;
        this.delaysMs = RecentMedian.of(ticker, SAMPLES, MAX_AGE_MS);
        this.lastRunNanos = ticker.nanos();
    }

    /** Returns the lag of a loop whose timer is started now. */
    public static LoopLag of(Ticker ticker) {
        return new LoopLag(ticker);
    }

    /** Records a run of the timer, which was due one interval after the run before. */
    public void timerRan() {
        long now = ticker.nanos();
        long delayNanos = now - lastRunNanos - TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
        delaysMs.add(Math.max(0, delayNanos) / 1e6);
        lastRunNanos = now;
    }

    /** Returns the lag in milliseconds. */
    public double ms() {
        return delaysMs.get();
    }
}
