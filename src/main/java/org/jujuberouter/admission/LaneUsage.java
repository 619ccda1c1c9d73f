package org.jujuberouter.admission;

/** Slots and tokens in use, by lane. */
final class LaneUsage {
    private final long[] slots = new long[Lane.values().length];
    private final long[] tokens = new long[Lane.values().length];
    private int longPrefills;

    void add(Lane lane, long amount) {
        slots[lane.ordinal()]++;
        tokens[lane.ordinal()] += amount;
    }

    void remove(Lane lane, long amount) {
        slots[lane.ordinal()]--;
        tokens[lane.ordinal()] -= amount;
    }

    void longPrefill(int change) {
        longPrefills += change;
    }

    int longPrefills() {
        return longPrefills;
    }

    long slots(Lane lane) {
        return slots[lane.ordinal()];
    }

    long tokens(Lane lane) {
        return tokens[lane.ordinal()];
    }

    long slots() {
        return slots[0] + slots[1] + slots[2];
    }

    long tokens() {
        return tokens[0] + tokens[1] + tokens[2];
    }
}
