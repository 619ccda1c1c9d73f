package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.id.RequestId;

/**
 * The allocations of this instance and of its peers on an endpoint.
 *
 * <p>An endpoint prefills prompts sequentially, so the remaining prefill time is the sum of the times of all prompts
 * minus the time since it began to prefill without interruption.
 */
public final class EndpointLoad {
    private static final double NANOS_PER_MS = 1e6;

    /** Fraction of the current iteration for which a new call waits, slightly above the mean. */
    private static final double CURRENT_ITERATION_FRACTION = 0.7;

    /** Fraction of the maximum length of an answer from which on it may end; callers state only the maximum. */
    private static final double MIN_ANSWER_FRACTION = 0.5;

    private final List<ActiveAllocation> activeAllocations = new ArrayList<>();
    private long prefillingSince;
    private boolean slotFreed;
    private long slotFreedAt;

    private static final class ActiveAllocation {
        private final Allocation allocation;
        private final double callPrefillMs;
        private final long callTokens;
        private final long startedAt;
        private boolean prefilling;
        private long decodingSince;

        private ActiveAllocation(Allocation allocation, double callPrefillMs, long callTokens, long startedAt) {
            this.allocation = allocation;
            this.callPrefillMs = callPrefillMs;
            this.callTokens = callTokens;
            this.startedAt = startedAt;
            this.prefilling = allocation.prefillMs() > 0;
            this.decodingSince = startedAt;
        }

        private void prefillDone(long now) {
            if (prefilling) {
                prefilling = false;
                decodingSince = now;
            }
        }
    }

    /**
     * Adds an allocation.
     *
     * @param callPrefillMs time to prefill the whole prompt, on all of its endpoints
     * @param callTokens KV cache that the call uses on all of its endpoints, in tokens
     */
    void add(Allocation allocation, double callPrefillMs, long callTokens, long now) {
        if (prefillRemainingMs(now) <= 0) {
            activeAllocations.forEach(active -> active.prefillDone(now));
            prefillingSince = now;
        }
        activeAllocations.add(new ActiveAllocation(allocation, callPrefillMs, callTokens, now));
    }

    /** Predicts when the slots and the memory of the endpoint are freed. */
    EngineTimeline timeline(EngineCostModel engine, int slots, long now) {
        double remainingMs = prefillRemainingMs(now);
        List<EngineTimeline.Release> releases = new ArrayList<>(activeAllocations.size());
        for (ActiveAllocation active : activeAllocations) {
            releases.add(release(active, engine, remainingMs, now));
        }
        return new EngineTimeline(
                slots - slotsUsed(), PromptSplit.usableTokens(engine) - memoryTokens(), remainingMs, releases);
    }

    private static EngineTimeline.Release release(
            ActiveAllocation active, EngineCostModel engine, double remainingMs, long now) {
        Allocation allocation = active.allocation;
        if (active.callPrefillMs <= 0) {
            return new EngineTimeline.Release(
                    0, Double.POSITIVE_INFINITY, allocation.holdsSlot(), allocation.memoryTokens());
        }
        long outputTokens = Math.max(1, active.callTokens - engine.promptTokens(active.callPrefillMs));
        double iterations = Math.ceil(outputTokens / (double) engine.decodeStepsPerIteration());
        double earliestMs = (active.startedAt - now) / NANOS_PER_MS
                + allocation.prefillMs()
                + iterations * MIN_ANSWER_FRACTION * engine.decodeIterationMs(1, 0);
        double iterationMs = engine.decodeIterationMs(engine.slots(), engine.kvCapacityTokens());
        double decodesFromMs = active.prefilling ? remainingMs : (active.decodingSince - now) / NANOS_PER_MS;
        return new EngineTimeline.Release(
                Math.max(0, earliestMs),
                Math.max(iterationMs, decodesFromMs + iterations * iterationMs),
                allocation.holdsSlot(),
                allocation.memoryTokens());
    }

    void prefillDone(RequestId id, long now) {
        double remainingMs = prefillRemainingMs(now);
        for (ActiveAllocation active : activeAllocations) {
            if (active.allocation.id().equals(id)) {
                active.prefillDone(now);
            }
        }
        double otherPrefillMs = totalPrefillMs();
        // The remaining time cannot grow; all work of the finished prompt counts as done.
        prefillingSince = now - (long) ((otherPrefillMs - Math.min(remainingMs, otherPrefillMs)) * NANOS_PER_MS);
    }

    boolean remove(RequestId id, long now) {
        prefillDone(id, now);
        boolean removed = false;
        for (int i = activeAllocations.size() - 1; i >= 0; i--) {
            Allocation allocation = activeAllocations.get(i).allocation;
            if (allocation.id().equals(id)) {
                activeAllocations.remove(i);
                removed = true;
                if (allocation.holdsSlot()) {
                    slotFreed = true;
                    slotFreedAt = now;
                }
            }
        }
        return removed;
    }

    /** Returns whether a slot was freed within the last given milliseconds. */
    boolean slotFreedWithin(double millis, long now) {
        return slotFreed && (now - slotFreedAt) / NANOS_PER_MS < millis;
    }

    /** Returns the remaining prefill time of the prompts on the endpoint, in milliseconds. */
    public double prefillRemainingMs(long now) {
        return Math.max(0, totalPrefillMs() - (now - prefillingSince) / NANOS_PER_MS);
    }

    /** Returns the number of slots in use. */
    public int slotsUsed() {
        int count = 0;
        for (ActiveAllocation active : activeAllocations) {
            if (active.allocation.holdsSlot()) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of parts that are prefilled for other endpoints. */
    public int helperParts() {
        return activeAllocations.size() - slotsUsed();
    }

    /** Returns the KV cache in use, in tokens. */
    public long memoryTokens() {
        long sum = 0;
        for (ActiveAllocation active : activeAllocations) {
            sum += active.allocation.memoryTokens();
        }
        return sum;
    }

    /** Returns the time of an iteration with the given additional prefill, in milliseconds. */
    public double iterationMs(EngineCostModel engine, double additionalPrefillMs, long now) {
        return engine.decodeIterationMs(slotsUsed() + 1, memoryTokens())
                + prefillRemainingMs(now)
                + additionalPrefillMs;
    }

    /**
     * Returns the time to the first event of an additional call, in milliseconds.
     *
     * <p>A call that arrives during an iteration joins the next one and emits its first event at the end of that.
     */
    public double firstEventMs(EngineCostModel engine, double additionalPrefillMs, long now) {
        double nextIterationMs = iterationMs(engine, additionalPrefillMs, now);
        if (slotsUsed() == 0) {
            return nextIterationMs;
        }
        return nextIterationMs + CURRENT_ITERATION_FRACTION * engine.decodeIterationMs(slotsUsed(), memoryTokens());
    }

    /** Returns the value of the streams whose gap objective an iteration of the given length would violate. */
    public double gapViolationCost(double iterationMs, double usableFraction) {
        double sum = 0;
        for (ActiveAllocation active : activeAllocations) {
            if (active.allocation.gapObjectiveMs() > 0
                    && active.allocation.holdsSlot()
                    && iterationMs > active.allocation.gapObjectiveMs() * usableFraction) {
                sum += active.allocation.lateCost();
            }
        }
        return sum;
    }

    /**
     * Returns the value of the calls whose first event would become late through additional prefill ahead of them.
     *
     * <p>An engine prefills the parts for other engines first, so such a part delays every prompt that it is
     * prefilling.
     */
    public double prefillDelayCost(EngineCostModel engine, double additionalPrefillMs, long now) {
        double remainingMs = prefillRemainingMs(now) + engine.decodeIterationMs(slotsUsed(), memoryTokens());
        double sum = 0;
        for (ActiveAllocation active : activeAllocations) {
            double dueMs = active.allocation.objectiveMs() - (now - active.startedAt) / NANOS_PER_MS;
            if (active.prefilling && remainingMs <= dueMs && remainingMs + additionalPrefillMs > dueMs) {
                sum += active.allocation.lateCost();
            }
        }
        return sum;
    }

    private double totalPrefillMs() {
        double sum = 0;
        for (ActiveAllocation active : activeAllocations) {
            if (active.prefilling) {
                sum += active.allocation.prefillMs();
            }
        }
        return sum;
    }
}
