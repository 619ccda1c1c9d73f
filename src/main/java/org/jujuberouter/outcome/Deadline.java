package org.jujuberouter.outcome;

import java.time.Duration;
import org.jujuberouter.misc.Ticker;

/**
 * The moment by which a request must be over.
 *
 * <p>Processes share no clock, so a deadline travels as the time that remains, shortened by the transit time.
 *
 * @param ticker the clock of this process
 * @param atNanos the moment on that clock
 */
public record Deadline(Ticker ticker, long atNanos) {
    /** Taken off at each hop: one-way latency between processes is about one millisecond. */
    public static final Duration HOP = Duration.ofMillis(2);

    /** Returns the deadline that is the given time away. */
    public static Deadline after(Ticker ticker, Duration time) {
        return new Deadline(ticker, ticker.nanos() + time.toNanos());
    }

    /** Returns the time left, never negative. */
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, atNanos - ticker.nanos()));
    }

    /** Returns the time left for the next process, so that it gives up before this one does. */
    public Duration remainingForNextHop() {
        Duration left = remaining().minus(HOP);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Tells whether the time is over. */
    public boolean passed() {
        return atNanos - ticker.nanos() <= 0;
    }

    /** Tells whether work of the given length would end in time. */
    public boolean allows(Duration work) {
        return remaining().compareTo(work) > 0;
    }
}
