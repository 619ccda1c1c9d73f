package org.jujuberouter.admission;

/**
 * An amount of work that an endpoint holds or may hold.
 *
 * @param slots concurrent requests
 * @param tokens tokens of prompts and responses in memory
 */
public record Capacity(long slots, long tokens) {
    /** No capacity. */
    public static final Capacity NONE = new Capacity(0, 0);

    /** Returns the capacity of the given slots and tokens. */
    public static Capacity of(long slots, long tokens) {
        return new Capacity(slots, tokens);
    }

    /** Returns this capacity doubled the given number of times, at most the limit. */
    Capacity doubled(int times, Capacity limit) {
        return new Capacity(doubled(slots, times, limit.slots), doubled(tokens, times, limit.tokens));
    }

    private static long doubled(long value, int times, long limit) {
        return times >= Long.numberOfLeadingZeros(Math.max(1, value)) - 1 ? limit : Math.min(limit, value << times);
    }
}
