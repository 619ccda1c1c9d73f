package org.jujuberouter.dispatch;

import java.util.List;

/**
 * The times at which the slots of several engines are predicted to be free, in order.
 *
 * <p>Slots that are free now are only counted: their number is what the engines state, so it must not size memory.
 */
final class SlotTimes {
    private final long freeNow;
    private final double[] freedMs;

    private SlotTimes(long freeNow, double[] freedMs) {
        this.freeNow = freeNow;
        this.freedMs = freedMs;
    }

    /**
     * Returns the times of the given slots.
     *
     * @param freeNow number of slots that are free now
     * @param freedMs the times at which the others are freed, in any order, in milliseconds from now
     */
    static SlotTimes of(long freeNow, List<Double> freedMs) {
        return new SlotTimes(
                freeNow, freedMs.stream().mapToDouble(d -> d).sorted().toArray());
    }

    /** Returns the number of slots. */
    long count() {
        return freeNow + freedMs.length;
    }

    /** Returns the time at which the slot with the given index in the order is free, in milliseconds from now. */
    double atMs(long index) {
        return index < freeNow ? 0 : freedMs[(int) (index - freeNow)];
    }

    /** Returns when the given number of calls have got a slot each, once more for each time that all slots are taken. */
    double behindMs(long calls) {
        if (calls <= 0 || count() == 0) {
            return 0;
        }
        double roundMs = atMs(count() - 1);
        return calls / count() * roundMs + atMs(calls % count());
    }

    /** Returns the mean time between two freed slots, from the median of the times at which slots are freed. */
    double intervalMs() {
        long half = (count() + 1) / 2;
        return half == 0 || Double.isInfinite(atMs(half - 1)) ? 0 : atMs(half - 1) / half;
    }
}
