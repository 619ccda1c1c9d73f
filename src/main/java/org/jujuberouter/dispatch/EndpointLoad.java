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
    private static final double PART_OF_CURRENT_PASS = 0.7;

    private final List<Item> items = new ArrayList<>();
    private long readingSince;
    private boolean slotFreed;
    private long slotFreedAt;

    private static final class Item {
        private final Allocation work;
        private final long startedAt;
        private boolean reading;

        private Item(Allocation work, long startedAt) {
            this.work = work;
            this.startedAt = startedAt;
            this.reading = work.prefillMs() > 0;
        }
    }

    void add(Allocation work, long now) {
        if (prefillRemainingMs(now) <= 0) {
            items.forEach(i -> i.reading = false);
            readingSince = now;
        }
        items.add(new Item(work, now));
    }

    void prefillDone(RequestId id, long now) {
        double left = prefillRemainingMs(now);
        for (Item i : items) {
            if (i.work.id().equals(id)) {
                i.reading = false;
            }
        }
        double rest = readTotalMs();
        // What is left cannot be more than before; the work that was read counts as done.
        readingSince = now - (long) ((rest - Math.min(left, rest)) * NANOS_PER_MS);
    }

    boolean remove(RequestId id, long now) {
        prefillDone(id, now);
        for (Item i : items) {
            if (i.work.id().equals(id) && i.work.holdsSlot()) {
                slotFreed = true;
                slotFreedAt = now;
            }
        }
        return items.removeIf(i -> i.work.id().equals(id));
    }

    /** Tells whether a slot became free within the time, in milliseconds. */
    boolean freedASlotWithin(double millis, long now) {
        return slotFreed && (now - slotFreedAt) / NANOS_PER_MS < millis;
    }

    /** Returns the time that the prompts already there still need to be read, in milliseconds. */
    public double prefillRemainingMs(long now) {
        return Math.max(0, readTotalMs() - (now - readingSince) / NANOS_PER_MS);
    }

    /** Returns the calls that hold a slot. */
    public int slotsUsed() {
        int n = 0;
        for (Item i : items) {
            if (i.work.holdsSlot()) {
                n++;
            }
        }
        return n;
    }

    /** Returns the parts that are read for other endpoints. */
    public int helperParts() {
        return items.size() - slotsUsed();
    }

    /** Returns the tokens of memory in use. */
    public long memoryTokens() {
        long sum = 0;
        for (Item i : items) {
            sum += i.work.memoryTokens();
        }
        return sum;
    }

    /** Returns the time of a pass with the given additional reading, in milliseconds. */
    public double iterationMs(EngineCostModel engine, double additionalReadMs, long now) {
        return engine.decodeIterationMs(slotsUsed() + 1, memoryTokens()) + prefillRemainingMs(now) + additionalReadMs;
    }

    /**
     * Returns the time to the first event of a further call, in milliseconds.
     *
     * <p>A call that arrives during a pass is taken up by the next one, and its first event comes at the end of that.
     */
    public double firstEventMs(EngineCostModel engine, double additionalReadMs, long now) {
        double next = iterationMs(engine, additionalReadMs, now);
        if (slotsUsed() == 0) {
            return next;
        }
        return next + PART_OF_CURRENT_PASS * engine.decodeIterationMs(slotsUsed(), memoryTokens());
    }

    /** Returns the weight of the streams that a pass of the given length would make late. */
    public double gapViolationCost(double passMs, double usablePart) {
        double sum = 0;
        for (Item i : items) {
            if (i.work.gapObjectiveMs() > 0 && i.work.holdsSlot() && passMs > i.work.gapObjectiveMs() * usablePart) {
                sum += i.work.lateCost();
            }
        }
        return sum;
    }

    /**
     * Returns the weight of the prompts whose first event further reading ahead of them would make late.
     *
     * <p>An engine reads the parts that it reads for others first, so such a part delays every prompt that is being read.
     */
    public double prefillDelayCost(EngineCostModel engine, double additionalReadMs, long now) {
        double left = prefillRemainingMs(now) + engine.decodeIterationMs(slotsUsed(), memoryTokens());
        double sum = 0;
        for (Item i : items) {
            double dueMs = i.work.objectiveMs() - (now - i.startedAt) / NANOS_PER_MS;
            if (i.reading && left <= dueMs && left + additionalReadMs > dueMs) {
                sum += i.work.lateCost();
            }
        }
        return sum;
    }

    private double readTotalMs() {
        double sum = 0;
        for (Item i : items) {
            if (i.reading) {
                sum += i.work.prefillMs();
            }
        }
        return sum;
    }
}
