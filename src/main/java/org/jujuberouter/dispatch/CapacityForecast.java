package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.jujuberouter.catalog.EngineCostModel;

/** Predicts when the engines of a service have room for a prompt, from the work in progress at one time. */
final class CapacityForecast {
    private final EngineCostModel engine;
    private final List<EngineTimeline> timelines = new ArrayList<>();
    private final SlotTimes earliestSlots;
    private final SlotTimes latestSlots;

    private CapacityForecast(EngineCostModel engine, List<TrackedEndpoint> endpoints, long now) {
        this.engine = engine;
        List<Double> earliest = new ArrayList<>();
        List<Double> latest = new ArrayList<>();
        long freeSlots = 0;
        for (TrackedEndpoint e : endpoints) {
            EngineTimeline timeline = e.load().timeline(engine, e.registration().slots(), now);
            freeSlots += timeline.freeSlots();
            timeline.addReleaseTimes(earliest, latest);
            timelines.add(timeline);
        }
        earliestSlots = SlotTimes.of(freeSlots, earliest);
        latestSlots = SlotTimes.of(freeSlots, latest);
    }

    /** Returns a forecast for the given engines. */
    static CapacityForecast of(EngineCostModel engine, List<TrackedEndpoint> endpoints, long now) {
        return new CapacityForecast(engine, endpoints, now);
    }

    /**
     * Predicts when a call can be placed.
     *
     * @param ahead number of calls of the same kind that go before it at this instance
     * @param sharers number of instances that place calls on these engines; their queues are taken to be as long
     */
    PlacementForecast forecast(CallRequirements call, int ahead, int sharers) {
        double behindEarliestMs = earliestSlots.behindMs(ahead);
        double behindLatestMs = latestSlots.behindMs((ahead + 1) * sharers - 1);
        PlacementForecast best = null;
        for (int parts : CallScheduler.PART_COUNTS) {
            if (parts > 1 && engine.prefillMs(call.promptTokens()) / parts < CallScheduler.MIN_PART_MS) {
                break;
            }
            PromptSplit split = PromptSplit.of(call, engine, parts);
            PlacementForecast f = forecast(call, split, behindEarliestMs, behindLatestMs);
            best = best == null ? f : min(best, f);
        }
        return best;
    }

    /** Returns what a call lacks that cannot be placed, or the given text if slots and memory are not lacking. */
    String missing(CallRequirements call, String otherwise) {
        PromptSplit split = PromptSplit.fewest(call, engine);
        int withSlot = 0;
        int withMemory = 0;
        int withBoth = 0;
        for (EngineTimeline t : timelines) {
            boolean memory = t.hasFreeMemory(split.minTokens());
            withSlot += t.hasFreeSlot() ? 1 : 0;
            withMemory += memory ? 1 : 0;
            withBoth += memory && t.hasFreeSlot() ? 1 : 0;
        }
        if (timelines.size() < split.parts()) {
            return "needs " + split.parts() + " engines";
        }
        if (withSlot == 0) {
            return "no free slot";
        }
        if (withMemory < split.parts()) {
            return "no memory for " + split.minTokens() + " tokens on " + split.parts() + " engine(s)";
        }
        return withBoth == 0 ? "no engine with a slot and memory for " + split.minTokens() + " tokens" : otherwise;
    }

    private static PlacementForecast min(PlacementForecast a, PlacementForecast b) {
        return new PlacementForecast(
                Math.min(a.earliestMs(), b.earliestMs()),
                Math.min(a.latestMs(), b.latestMs()),
                Math.min(a.firstEventMs(), b.firstEventMs()),
                Math.min(a.latestFirstEventMs(), b.latestFirstEventMs()),
                a.slotIntervalMs());
    }

    private PlacementForecast forecast(
            CallRequirements call, PromptSplit split, double behindEarliestMs, double behindLatestMs) {
        int count = timelines.size();
        double[] earliest = new double[count];
        double[] firstEvents = new double[count];
        double[] latest = new double[count];
        double respondsEarliestMs = Double.POSITIVE_INFINITY;
        double respondsLatestMs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < count; i++) {
            EngineTimeline t = timelines.get(i);
            boolean single = split.parts() == 1;
            earliest[i] = Math.max(t.earliestMs(single, split.minTokens()), behindEarliestMs);
            firstEvents[i] = Math.max(earliest[i], t.prefillRemainingMs());
            // A long prompt may have to wait until no stream is left whose gaps it would lengthen.
            double roomMs = call.isShort() ? t.latestMs(single, split.minTokens()) : t.idleMs();
            latest[i] = Math.max(Math.max(roomMs, behindLatestMs), t.prefillRemainingMs());
            if (!single) {
                respondsEarliestMs = Math.min(respondsEarliestMs, t.earliestMs(true, split.responderTokens()));
                respondsLatestMs = Math.min(respondsLatestMs, t.latestMs(true, split.responderTokens()));
            }
        }
        if (split.parts() == 1) {
            respondsEarliestMs = 0;
            respondsLatestMs = 0;
        }
        double ownMs = split.prefillMs() + engine.decodeIterationMs(1, split.responderTokens());
        double latestMs = Math.max(kth(latest, split.parts()), respondsLatestMs);
        return new PlacementForecast(
                Math.max(kth(earliest, split.parts()), respondsEarliestMs),
                latestMs,
                Math.max(kth(firstEvents, split.parts()), respondsEarliestMs) + ownMs,
                latestMs + split.prefillMs() + engine.decodeIterationMs(engine.slots(), engine.kvCapacityTokens()),
                latestSlots.intervalMs());
    }

    private static double kth(double[] times, int k) {
        if (k > times.length) {
            return Double.POSITIVE_INFINITY;
        }
        if (k == 1) {
            double least = Double.POSITIVE_INFINITY;
            for (double t : times) {
                least = Math.min(least, t);
            }
            return least;
        }
        Arrays.sort(times);
        return times[k - 1];
    }
}
