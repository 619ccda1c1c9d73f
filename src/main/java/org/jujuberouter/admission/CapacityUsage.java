package org.jujuberouter.admission;

/** The slots and tokens in use, by prompt class. */
final class CapacityUsage {
    private final long[] slots = new long[PromptClass.values().length];
    private final long[] tokens = new long[PromptClass.values().length];
    private int longPrefills;

    void add(PromptClass promptClass, long amount) {
        slots[promptClass.ordinal()]++;
        tokens[promptClass.ordinal()] += amount;
    }

    void remove(PromptClass promptClass, long amount) {
        slots[promptClass.ordinal()]--;
        tokens[promptClass.ordinal()] -= amount;
    }

    void addLongPrefills(int change) {
        longPrefills += change;
    }

    int longPrefills() {
        return longPrefills;
    }

    long slots(PromptClass promptClass) {
        return slots[promptClass.ordinal()];
    }

    long tokens(PromptClass promptClass) {
        return tokens[promptClass.ordinal()];
    }

    long slots() {
        return slots[0] + slots[1] + slots[2];
    }

    long tokens() {
        return tokens[0] + tokens[1] + tokens[2];
    }
}
