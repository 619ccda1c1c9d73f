package org.jujuberouter.outcome;

import java.time.Duration;
import org.jujuberouter.misc.Ticker;

/**
 * The time by which a request must have ended.
 *
 * <p>Processes share no clock, so a deadline is transmitted as the remaining time, reduced by an allowance for transit.
 *
 * @param ticker the clock of this process
 * @param atNanos the deadline on that clock
 */
public record Deadline(Ticker ticker, long atNanos) {
    /** Subtracted at each hop; one-way latency between processes is about one millisecond. */
    public static final Duration HOP_ALLOWANCE = Duration.ofMillis(2);

    /** Returns a deadline at the given time from now. */
    public static Deadline after(Ticker ticker, Duration time) {
        return new Deadline(ticker, ticker.nanos() + time.toNanos());
    }

    /** Returns the remaining time, never negative. */
    public Duration remaining() {
        return Duration.ofNanos(Math.max(0, atNanos - ticker.nanos()));
    }

    /** Returns the remaining time to pass to the next process, so that it times out before this one. */
    public Duration remainingForNextHop() {
        Duration left = remaining().minus(HOP_ALLOWANCE);
        return left.isNegative() ? Duration.ZERO : left;
    }

    public boolean passed() {
        return atNanos - ticker.nanos() <= 0;
    }

    /** Returns whether work of the given duration would end before the deadline. */
    public boolean allows(Duration work) {
        return remaining().compareTo(work) > 0;
    }
}
