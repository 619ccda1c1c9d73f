package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Decides which calls an instance still takes after its stop has begun.
 *
 * <p>The platform ends a stopping instance after a fixed time, whatever is running, so a call that cannot end before has
 * to go to another instance while it has not run. Until the platform has taken the instance out of rotation, it takes
 * the calls that are expected to end in time. Afterwards callers reach it only because few other instances are in
 * rotation, and it takes the calls whose deadline is in time.
 */
public final class StopSchedule {
    /** Time until the platform has taken a stopping instance out of rotation: two probes 1 s apart, and one more. */
    private static final long ROTATION_REMOVAL_MS = 2_600;

    /** Time before the platform's kill at which all calls are ended. */
    private static final long EXIT_MARGIN_MS = 700;

    private final Ticker ticker;
    private final long stopMs;
    private boolean begun;
    private boolean closed;
    private long begunAt;

    private StopSchedule(Ticker ticker, long stopMs) {
        this.ticker = ticker;
        this.stopMs = stopMs;
    }

    /** Returns the schedule of an instance that is not stopping yet; it is killed the given time after the stop begins. */
    public static StopSchedule of(Ticker ticker, long stopMs) {
        return new StopSchedule(ticker, stopMs);
    }

    /** Begins the stop. */
    public void begin() {
        begun = true;
        begunAt = ticker.nanos();
    }

    /** Takes no more calls, whatever time is left. */
    public void close() {
        closed = true;
    }

    /** Returns whether the stop has begun. */
    public boolean isStopping() {
        return begun;
    }

    /** Returns whether the platform no longer sends new connections here, unless it has too few other instances. */
    public boolean isOutOfRotation() {
        return begun && elapsedMs() >= ROTATION_REMOVAL_MS;
    }

    /** Returns whether the time in which calls may run is over. */
    public boolean isOver() {
        return begun && remainingMs() <= 0;
    }

    /**
     * Returns whether to take a call that has not run yet.
     *
     * @param expectedMs time after which the call is expected to have ended, in milliseconds
     * @param deadlineMs time after which it has ended in any case, in milliseconds
     */
    public boolean accepts(double expectedMs, long deadlineMs) {
        boolean endsInTime = deadlineMs <= remainingMs();
        boolean isExpectedToEndInTime = !isOutOfRotation() && expectedMs <= remainingMs();
        return !closed && (!begun || endsInTime || isExpectedToEndInTime);
    }

    private long remainingMs() {
        return stopMs - EXIT_MARGIN_MS - elapsedMs();
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - begunAt);
    }
}
