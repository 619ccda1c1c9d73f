package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.id.RequestId;

/**
 * The work at one endpoint, of this instance and of its peers.
 *
 * <p>Prompts are read one after the other, so the time left to read is the sum of the times less what has passed since the
 * endpoint began to read without a pause.
 */
public final class EndpointLoad {
    private static final double NANOS_PER_MS = 1e6;

    /** Part of the pass under way that a call waits for, a little above the mean. */
    private static final double CURRENT_ITERATION_FRACTION = 0.7;

    private final List<ActiveAllocation> entries = new ArrayList<>();
    private long prefillingSince;
    private boolean slotFreed;
    private long slotFreedAt;

    private static final class ActiveAllocation {
        private final Allocation allocation;
        private final long startedAt;
        private boolean prefilling;

        private ActiveAllocation(Allocation allocation, long startedAt) {
            this.allocation = allocation;
            this.startedAt = startedAt;
            this.prefilling = allocation.prefillMs() > 0;
        }
    }

    void add(Allocation allocation, long now) {
        if (prefillRemainingMs(now) <= 0) {
            entries.forEach(entry -> entry.prefilling = false);
            prefillingSince = now;
        }
        entries.add(new ActiveAllocation(allocation, now));
    }

    void prefillDone(RequestId id, long now) {
        double remainingMs = prefillRemainingMs(now);
        for (ActiveAllocation entry : entries) {
            if (entry.allocation.id().equals(id)) {
                entry.prefilling = false;
            }
        }
        double otherPrefillMs = totalPrefillMs();
        // What is left cannot be more than before; the work that was read counts as done.
        prefillingSince = now - (long) ((otherPrefillMs - Math.min(remainingMs, otherPrefillMs)) * NANOS_PER_MS);
    }

    boolean remove(RequestId id, long now) {
        prefillDone(id, now);
        for (ActiveAllocation entry : entries) {
            if (entry.allocation.id().equals(id) && entry.allocation.holdsSlot()) {
                slotFreed = true;
                slotFreedAt = now;
            }
        }
        return entries.removeIf(entry -> entry.allocation.id().equals(id));
    }

    /** Tells whether a slot became free within the time, in milliseconds. */
    boolean slotFreedWithin(double millis, long now) {
        return slotFreed && (now - slotFreedAt) / NANOS_PER_MS < millis;
    }

    /** Returns the time that the prompts already there still need to be read, in milliseconds. */
    public double prefillRemainingMs(long now) {
        return Math.max(0, totalPrefillMs() - (now - prefillingSince) / NANOS_PER_MS);
    }

    /** Returns the calls that hold a slot. */
    public int slotsUsed() {
        int count = 0;
        for (ActiveAllocation entry : entries) {
            if (entry.allocation.holdsSlot()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the parts that are read for other endpoints. */
    public int helperParts() {
        return entries.size() - slotsUsed();
    }

    /** Returns the tokens of memory in use. */
    public long memoryTokens() {
        long sum = 0;
        for (ActiveAllocation entry : entries) {
            sum += entry.allocation.memoryTokens();
        }
        return sum;
    }

    /** Returns the time of a pass with the given additional reading, in milliseconds. */
    public double iterationMs(EngineCostModel engine, double additionalPrefillMs, long now) {
        return engine.decodeIterationMs(slotsUsed() + 1, memoryTokens())
                + prefillRemainingMs(now)
                + additionalPrefillMs;
    }

    /**
     * Returns the time to the first event of a further call, in milliseconds.
     *
     * <p>A call that arrives during a pass is taken up by the next one, and its first event comes at the end of that.
     */
    public double firstEventMs(EngineCostModel engine, double additionalPrefillMs, long now) {
        double nextIterationMs = iterationMs(engine, additionalPrefillMs, now);
        if (slotsUsed() == 0) {
            return nextIterationMs;
        }
        return nextIterationMs + CURRENT_ITERATION_FRACTION * engine.decodeIterationMs(slotsUsed(), memoryTokens());
    }

    /** Returns the weight of the streams that a pass of the given length would make late. */
    public double gapViolationCost(double iterationMs, double usableFraction) {
        double sum = 0;
        for (ActiveAllocation entry : entries) {
            if (entry.allocation.gapObjectiveMs() > 0
                    && entry.allocation.holdsSlot()
                    && iterationMs > entry.allocation.gapObjectiveMs() * usableFraction) {
                sum += entry.allocation.lateCost();
            }
        }
        return sum;
    }

    /**
     * Returns the weight of the prompts whose first event further reading ahead of them would make late.
     *
     * <p>An engine reads the parts that it reads for others first, so such a part delays every prompt that is being read.
     */
    public double prefillDelayCost(EngineCostModel engine, double additionalPrefillMs, long now) {
        double remainingMs = prefillRemainingMs(now) + engine.decodeIterationMs(slotsUsed(), memoryTokens());
        double sum = 0;
        for (ActiveAllocation entry : entries) {
            double dueMs = entry.allocation.objectiveMs() - (now - entry.startedAt) / NANOS_PER_MS;
            if (entry.prefilling && remainingMs <= dueMs && remainingMs + additionalPrefillMs > dueMs) {
                sum += entry.allocation.lateCost();
            }
        }
        return sum;
    }

    private double totalPrefillMs() {
        double sum = 0;
        for (ActiveAllocation entry : entries) {
            if (entry.prefilling) {
                sum += entry.allocation.prefillMs();
            }
        }
        return sum;
    }
}
