package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** When the slots and the memory of one engine are predicted to be freed, as of the time of the prediction. */
final class EngineTimeline {
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /**
     * The end of an allocation, in milliseconds from the prediction.
     *
     * @param earliestMs earliest end; 0 if the call may end at any time
     * @param latestMs latest end; infinite if the length of the answer is not known
     */
    record Release(double earliestMs, double latestMs, boolean freesSlot, long tokens) {}

    private final int freeSlots;
    private final long freeTokens;
    private final double prefillRemainingMs;
    private final List<Release> byEarliest;
    private final List<Release> byLatest;

    EngineTimeline(int freeSlots, long freeTokens, double prefillRemainingMs, List<Release> releases) {
        this.freeSlots = freeSlots;
        this.freeTokens = freeTokens;
        this.prefillRemainingMs = prefillRemainingMs;
        byEarliest = new ArrayList<>(releases);
        byEarliest.sort(Comparator.comparingDouble(Release::earliestMs));
        byLatest = new ArrayList<>(releases);
        byLatest.sort(Comparator.comparingDouble(Release::latestMs));
    }

    boolean hasFreeSlot() {
        return freeSlots > 0;
    }

    boolean hasFreeMemory(long tokens) {
        return freeTokens >= tokens;
    }

    double prefillRemainingMs() {
        return prefillRemainingMs;
    }

    /** Returns the earliest time at which a slot, if needed, and memory are free; infinite if they never are. */
    double earliestMs(boolean needsSlot, long tokens) {
        return freeMs(byEarliest, Release::earliestMs, needsSlot, tokens);
    }

    /** Returns the latest time at which a slot, if needed, and memory are free if the engine takes no further calls. */
    double latestMs(boolean needsSlot, long tokens) {
        return freeMs(byLatest, Release::latestMs, needsSlot, tokens);
    }

    private double freeMs(List<Release> inOrder, ToDoubleFunction<Release> endMs, boolean needsSlot, long tokens) {
        int slots = freeSlots;
        long free = freeTokens;
        double atMs = 0;
        for (int i = 0; needsSlot && slots <= 0 || free < tokens; i++) {
            if (i == inOrder.size()) {
                return NEVER;
            }
            Release r = inOrder.get(i);
            slots += r.freesSlot ? 1 : 0;
            free += r.tokens;
            atMs = endMs.applyAsDouble(r);
        }
        return atMs;
    }

    /** Returns the latest time at which the engine has finished all of its calls if it takes no further ones. */
    double idleMs() {
        return byLatest.isEmpty() ? 0 : byLatest.getLast().latestMs;
    }

    /** Returns the number of free slots. */
    int freeSlots() {
        return Math.max(0, freeSlots);
    }

    /** Adds the times at which the slots in use are freed to the given lists. */
    void addReleaseTimes(List<Double> earliest, List<Double> latest) {
        for (Release r : byLatest) {
            if (r.freesSlot) {
                earliest.add(r.earliestMs);
                latest.add(r.latestMs);
            }
        }
    }
}
