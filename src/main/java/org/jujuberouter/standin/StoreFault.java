package org.jujuberouter.standin;

import java.time.Duration;

/**
 * A fault that the store stand-in injects.
 *
 * @param kind the kind of fault
 * @param delay the delay of a slow answer or of a delayed write
 * @param times the number of calls that are affected until the fault ends; 0 for no limit
 * @param prefix the prefix of the affected keys; empty for all calls
 */
public record StoreFault(Kind kind, Duration delay, int times, String prefix) {
    /** The kinds of faults. */
    public enum Kind {
        /** No fault. */
        NONE,
        /** The port is closed, and connections are refused. */
        REFUSE,
        /** A call is answered with status 503 and has no effect. */
        UNAVAILABLE,
        /** A call is executed and answered after the delay. */
        SLOW,
        /** A write takes effect, then the connection is closed without an answer. */
        LOSE_REPLY,
        /** The connection of a write is closed without an answer; the write takes effect after the delay. */
        DELAY_EFFECT
    }

    /** Returns a fault that affects no call. */
    public static StoreFault none() {
        return of(Kind.NONE);
    }

    /** Returns a fault that affects all calls until it is replaced. */
    public static StoreFault of(Kind kind) {
        return new StoreFault(kind, Duration.ZERO, 0, "");
    }

    /** Returns the same fault with a delay. */
    public StoreFault withDelay(Duration newDelay) {
        return new StoreFault(kind, newDelay, times, prefix);
    }

    /** Returns the same fault for the given number of calls on keys with the prefix. */
    public StoreFault forCalls(int newTimes, String newPrefix) {
        return new StoreFault(kind, delay, newTimes, newPrefix);
    }

    boolean appliesTo(String key, boolean write) {
        boolean affected = switch (kind) {
            case NONE, REFUSE -> false;
            case UNAVAILABLE, SLOW -> true;
            case LOSE_REPLY, DELAY_EFFECT -> write;
        };
        return affected && key.startsWith(prefix);
    }
}
