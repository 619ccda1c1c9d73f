package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.RecentMedian;
import org.jujuberouter.misc.Ticker;

/**
 * How late the event loop of an instance runs a timer.
 *
 * <p>The lag is the median of the last three delays, so a process that is frozen once, for any time, does not lag. The delay
 * of a timer that is overdue counts before the timer has run.
 */
public final class LoopLag {
    /**
     * Time between two runs of the timer. Waking up an idle loop takes 0.08% of a core at this interval and 0.16% at 100 ms;
     * the measurement may take 0.1%.
     */
    private static final long INTERVAL_MS = 250;

    /** Time between two runs if nothing is decided by the lag; the processor time of more runs is not worth it. */
    private static final long OBSERVED_INTERVAL_MS = 1_000;

    /** Time between two runs for a while after a late one; a busy loop is awake anyway. */
    private static final long BUSY_INTERVAL_MS = 100;

    /** Time after a late run for which the loop counts as busy; bursts last 2 s and more. */
    private static final long BUSY_MS = 5_000;

    /** Delay of a run that counts as late; the machine's scheduler delays runs by a few milliseconds. */
    private static final double LATE_MS = 20;

    /** One late run, such as that after a freeze, does not count. */
    private static final int SAMPLES = 3;

    /** Longer than three runs that are each delayed by the longest latency objective. */
    private static final long MAX_AGE_MS = 60_000;

    private final Ticker ticker;
    private final RecentMedian delaysMs;
    private final boolean observedOnly;
    private long intervalMs;
    private long lastRunNanos;
    private long busyUntilNanos;
    private boolean busy;

    private LoopLag(Ticker ticker, boolean observedOnly) {
        this.ticker = ticker;
        this.observedOnly = observedOnly;
        this.intervalMs = idleIntervalMs();
        this.delaysMs = RecentMedian.of(ticker, SAMPLES, MAX_AGE_MS);
        this.lastRunNanos = ticker.nanos();
    }

    /** Returns the lag of a loop whose timer is started now. */
    public static LoopLag of(Ticker ticker) {
        return new LoopLag(ticker, false);
    }

    /** Returns the lag of a loop whose timer is started now, if it is only shown to operators. */
    public static LoopLag observedOnly(Ticker ticker) {
        return new LoopLag(ticker, true);
    }

    private long idleIntervalMs() {
        return observedOnly ? OBSERVED_INTERVAL_MS : INTERVAL_MS;
    }

    /** Records a run of the timer. */
    public void timerRan() {
        double delayMs = overdueMs();
        delaysMs.add(delayMs);
        lastRunNanos = ticker.nanos();
        if (delayMs > LATE_MS) {
            busyUntilNanos = lastRunNanos + TimeUnit.MILLISECONDS.toNanos(BUSY_MS);
            busy = true;
        }
        busy = busy && !observedOnly && lastRunNanos < busyUntilNanos;
        intervalMs = busy ? BUSY_INTERVAL_MS : idleIntervalMs();
    }

    /** Returns the time from the last run of the timer until it is due again, in milliseconds. */
    public long intervalMs() {
        return intervalMs;
    }

    /** Returns the lag in milliseconds. */
    public double ms() {
        double overdueMs = overdueMs();
        return overdueMs > LATE_MS ? delaysMs.getWith(overdueMs) : delaysMs.get();
    }

    private double overdueMs() {
        long dueNanos = lastRunNanos + TimeUnit.MILLISECONDS.toNanos(intervalMs);
        return Math.max(0, ticker.nanos() - dueNanos) / 1e6;
    }
}
