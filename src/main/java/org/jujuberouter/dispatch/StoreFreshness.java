package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * How long ago this instance's view of the store was proved to be current.
 *
 * <p>An API key that was withdrawn must not be honoured beyond a bound, also by an instance that cannot hear of it. So an
 * instance honours keys only while its view is younger than that bound. The monotonic clock stands still while a machine is
 * suspended, so a difference between its progress and that of the time of day makes the age unknown, and the view does
 * not count until the store has answered again.
 */
public final class StoreFreshness {
    /** Part of the bound on withdrawn keys for which a view counts; the rest covers delays between check and run. */
    private static final double USABLE_PART = 0.76;

    /** Difference between the clocks that shows a suspended machine or a step of the time of day. */
    private static final long CLOCK_DIFFERENCE_MS = 150;

    private final Ticker steady;
    private final Ticker timeOfDay;
    private final long usableNanos;
    private boolean known;
    private long provedAt;
    private long offset;

    private StoreFreshness(Ticker steady, Ticker timeOfDay, long withdrawalBoundMs) {
        this.steady = steady;
        this.timeOfDay = timeOfDay;
        this.usableNanos = (long) (TimeUnit.MILLISECONDS.toNanos(withdrawalBoundMs) * USABLE_PART);
        this.offset = timeOfDay.nanos() - steady.nanos();
    }

    /** Returns a contact that has not been made. */
    public static StoreFreshness of(Ticker steady, Ticker timeOfDay, long withdrawalBoundMs) {
        return new StoreFreshness(steady, timeOfDay, withdrawalBoundMs);
    }

    /** Notes that the view held the state of the store at the given moment of the steady clock. */
    public void confirmAt(long atNanos) {
        boolean jumped = checkClocks();
        if (jumped) {
            return;
        }
        if (!known || atNanos > provedAt) {
            provedAt = atNanos;
        }
        known = true;
    }

    /** Tells whether the view may still be used. */
    public boolean isCurrent() {
        checkClocks();
        return known && steady.nanos() - provedAt < usableNanos;
    }

    /** Returns the age of the view in milliseconds, or -1 where it is not known. */
    public long ageMs() {
        return known ? TimeUnit.NANOSECONDS.toMillis(steady.nanos() - provedAt) : -1;
    }

    /** Forgets the contact when the clocks ran apart; returns whether they did. */
    private boolean checkClocks() {
        long now = timeOfDay.nanos() - steady.nanos();
        if (Math.abs(now - offset) < TimeUnit.MILLISECONDS.toNanos(CLOCK_DIFFERENCE_MS)) {
            return false;
        }
        offset = now;
        known = false;
        return true;
    }
}
