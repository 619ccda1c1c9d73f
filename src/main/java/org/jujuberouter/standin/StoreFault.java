package org.jujuberouter.standin;

import java.time.Duration;

/**
 * A fault that the stand-in of the store injects.
 *
 * @param kind what goes wrong
 * @param delay how long a slow answer or a delayed effect takes
 * @param times how many calls the fault hits before it ends by itself; 0 for no end
 * @param prefix the prefix of the keys that are hit; empty for all calls
 */
public record StoreFault(Kind kind, Duration delay, int times, String prefix) {
    /** What can go wrong. */
    public enum Kind {
        /** Nothing. */
        NONE,
        /** The port is closed, so that connections are refused. */
        REFUSE,
        /** Every call is answered with status 503 and has no effect. */
        UNAVAILABLE,
        /** Every call is answered after the delay. */
        SLOW,
        /** A write takes effect, then the connection is closed without an answer. */
        LOSE_REPLY,
        /** The connection of a write is closed without an answer; the write takes effect after the delay. */
        DELAY_EFFECT
    }

    /** Returns the absence of faults. */
    public static StoreFault none() {
        return of(Kind.NONE);
    }

    /** Returns a fault that hits all calls until it is changed. */
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

    boolean hits(String key, boolean write) {
        boolean concerned = switch (kind) {
            case NONE, REFUSE -> false;
            case UNAVAILABLE, SLOW -> true;
            case LOSE_REPLY, DELAY_EFFECT -> write;
        };
        return concerned && key.startsWith(prefix);
    }
}
