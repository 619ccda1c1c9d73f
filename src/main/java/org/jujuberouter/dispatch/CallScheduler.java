package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Ticker;

/**
 * Selects the endpoint of a call, and the helpers that prefill parts of a long prompt.
 *
 * <p>An engine interleaves prefill with the decoding of its streams, so a long prompt lengthens the gaps between the
 * events of every stream on the engine. The cost of a candidate is therefore the value of the calls that would miss
 * their objectives: the streams already on the engine whose gaps would exceed their objective, and the call itself.
 * Among candidates without cost, short prompts take the first in the order that all instances share, long ones the
 * last. A prompt that a single engine prefills too slowly is split into the smallest number of equal parts that meets
 * the objective.
 */
public final class CallScheduler {
    /** Fraction of a stream's gap objective that may be planned; the rest covers what the cost model omits. */
    private static final double USABLE_GAP_FRACTION = 0.8;

    /**
     * Fraction of the latency objective that may be planned; one call in ten exceeds its predicted time by a tenth of
     * the objective.
     */
    private static final double USABLE_OBJECTIVE_FRACTION = 0.85;

    /** Fraction of the objective below which a placement is accepted without trying more parts. */
    private static final double EARLY_ENOUGH_FRACTION = 0.6;

    /** Fraction of the caller's timeout for which a call is queued before it is refused. */
    private static final double MAX_WAIT_FRACTION = 0.6;

    /** Time within which a queued call is tried again, including scheduling delays. */
    private static final double RETRY_INTERVAL_MS = 15;

    /** Minimum retry delay returned to a caller whose call could not be placed, before jitter. */
    private static final long NO_CAPACITY_RETRY_MS = 800;

    private static final long NO_CAPACITY_RETRY_JITTER_MS = 800;

    /**
     * Time for which late calls leave a freed slot to calls that can still be on time. Within it every instance has
     * learned of the slot and has tried its queued calls.
     */
    private static final double LATE_CALL_YIELD_MS = 30;

    /** Number of free slots from which on late calls need not yield. */
    private static final int MIN_FREE_SLOTS_WITHOUT_YIELD = 3;

    /** Fraction of an engine's KV cache that may be planned; an engine that runs out preempts its newest call. */
    private static final double USABLE_MEMORY_FRACTION = 0.94;

    /** Typical duration of a short stream, after which the streams of an engine have been replaced by others. */
    private static final double TYPICAL_STREAM_MS = 1_500;

    /** Fraction of an engine's slots that counts as one level of crowding. */
    private static final double CROWDING_STEP_FRACTION = 0.6;

    /**
     * Number of equally good engines over which calls are spread, because two instances may place calls at the same
     * moment before they learn of each other's.
     */
    private static final int SPREAD_WIDTH = 3;

    /**
     * Spread of an instance that has just started; its peers may have started at the same time, and none receives the
     * others' allocations yet.
     */
    private static final int SPREAD_WIDTH_AFTER_START = 8;

    /**
     * Time after which an instance has discovered its peers; instances that all start at the same time need 0.4 to
     * 0.7 s.
     */
    private static final double PEER_DISCOVERY_MS = 1_500;

    /** Numbers of parts into which a prompt may be split; an engine accepts at most 16 helpers. */
    private static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 11, 14, 17};

    /** Minimum prefill time of a part; splitting into shorter parts is not worth the overhead. */
    private static final double MIN_PART_MS = 60;

    /** Remaining prefill time up to which an engine counts as free for short prompts. */
    private static final double MAX_FREE_PREFILL_MS = 100;

    /** Fraction of the engines that long prompts leave free, as headroom for bursts of short prompts. */
    private static final double FREE_ENGINE_FRACTION = 0.2;

    /**
     * Cost of each engine missing from that headroom, in units of a short call: the short calls that would arrive at it
     * while it prefills.
     */
    private static final double MISSING_FREE_ENGINE_COST = 4;

    /** Retry delay returned to a caller for whose service no endpoint is usable. */
    private static final long NO_ENDPOINT_RETRY_MS = 1_000;

    private final EndpointRegistry registry;
    private final Ticker ticker;
    private final long startedAt;

    private CallScheduler(EndpointRegistry registry, Ticker ticker) {
        this.registry = registry;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    /** Returns a scheduler that places calls on the endpoints of the registry. */
    public static CallScheduler on(EndpointRegistry registry, Ticker ticker) {
        return new CallScheduler(registry, ticker);
    }

    /**
     * A possible placement of a prompt.
     *
     * @param split how the prompt is split
     * @param engines the engines; the first one answers the call
     * @param harmToOthers value lost by other calls that would become late, including calls expected to arrive
     * @param ownCost value lost by the call itself if it would be late
     * @param firstEventMs predicted time to the first event, in milliseconds
     */
    private record Candidate(
            PromptSplit split,
            List<TrackedEndpoint> engines,
            double harmToOthers,
            double ownCost,
            double firstEventMs) {
        private double cost() {
            return harmToOthers + ownCost;
        }

        private boolean isLate() {
            return ownCost > 0;
        }
    }

    /**
     * The resources that each engine needs for a prompt that is split into equal parts.
     *
     * @param parts number of engines that prefill a part
     * @param prefillMs time to prefill one part, in milliseconds
     * @param responderTokens KV cache needed on the engine that answers, in tokens
     * @param helperTokens KV cache needed on each helper, in tokens
     * @param reserved whether memory is reserved on each engine, because the prompt is too large for a single one
     */
    private record PromptSplit(int parts, double prefillMs, long responderTokens, long helperTokens, boolean reserved) {
        private static PromptSplit of(CallRequirements requirements, EngineCostModel engine, int parts) {
            double prefillMs = engine.prefillMs(requirements.promptTokens()) / parts;
            long tokens = requirements.promptTokens() + requirements.outputTokens();
            long tokensPerEngine = tokens / parts + 1;
            return tokens > usableTokens(engine)
                    ? new PromptSplit(parts, prefillMs, tokensPerEngine, tokensPerEngine, true)
                    : new PromptSplit(parts, prefillMs, tokens, 0, false);
        }

        /** Returns the KV cache that an engine needs at least to take a part, in tokens. */
        private long minTokens() {
            return parts == 1 ? responderTokens : helperTokens;
        }
    }

    private static long usableTokens(EngineCostModel engine) {
        return (long) (engine.kvCapacityTokens() * USABLE_MEMORY_FRACTION);
    }

    /**
     * Decides whether a call is sent, queued or refused.
     *
     * @param requirements what the call needs
     * @param service the declaration of its service
     * @param tried endpoints to which the call was sent before
     * @param waitedMs time since the arrival of the call, in milliseconds
     */
    public PlacementDecision place(
            CallRequirements requirements, ServiceSpec service, Set<EndpointId> tried, double waitedMs) {
        return place(requirements, service, tried, waitedMs, CustomerStanding.NORMAL);
    }

    /**
     * Decides whether a call is sent, queued or refused.
     *
     * @param standing how the customer stands to its fair share; a deferred call leaves a freed slot of an engine to calls
     *     that wait at other instances, but takes a slot of an endpoint whose calls are short, because the slot would
     *     be free for a large part of the time
     */
    public PlacementDecision place(
            CallRequirements requirements,
            ServiceSpec service,
            Set<EndpointId> tried,
            double waitedMs,
            CustomerStanding standing) {
        long now = ticker.nanos();
        boolean waitExhausted = waitedMs > requirements.callerTimeoutMs() * MAX_WAIT_FRACTION;
        boolean yieldsLate = !requirements.canBeOnTime(waitedMs) && standing != CustomerStanding.KEPT_BELOW_SHARE;
        boolean yieldsDeferred =
                standing == CustomerStanding.DEFERRED && service.engine().isPresent();
        boolean yields = (yieldsLate || yieldsDeferred) && !waitExhausted;
        boolean anyUsable = false;
        List<TrackedEndpoint> available = new ArrayList<>();
        List<TrackedEndpoint> healthy = new ArrayList<>();
        for (TrackedEndpoint e : registry.usable(requirements.service())) {
            if (tried.contains(e.registration().id())) {
                continue;
            }
            anyUsable = true;
            if (e.isFull(now)
                    || e.isColdLimitReached(service.coldCallsPerSecond(), now)
                    || yields && yieldsFreedSlot(e, now)) {
                continue;
            }
            available.add(e);
            if (!e.isBackedOff(now)) {
                healthy.add(e);
            }
        }
        if (!anyUsable) {
            return new PlacementDecision.Refuse(
                    "no usable endpoint of " + requirements.service(), NO_ENDPOINT_RETRY_MS);
        }
        // If all endpoints have failed recently, trying one of them is more promising than waiting.
        List<TrackedEndpoint> candidates = healthy.isEmpty() ? available : healthy;
        PlacementDecision decision = service.engine().isPresent() && requirements.promptTokens() > 0
                ? placePrompt(requirements, service.engine().get(), candidates, waitedMs, now)
                : placePlain(requirements, candidates, now);
        if (decision instanceof PlacementDecision.Wait && waitExhausted) {
            long jitterMs = Math.floorMod(requirements.id().hashCode(), NO_CAPACITY_RETRY_JITTER_MS);
            return new PlacementDecision.Refuse("no place in time", NO_CAPACITY_RETRY_MS + jitterMs);
        }
        return decision;
    }

    /**
     * Returns whether a late call leaves the free slot of an endpoint to calls that can still be on time.
     *
     * <p>Each instance has its own queue. In an overload, a late call of one instance would take a slot for which a
     * call of another instance waits that is not late yet. Most calls would then be late, as with first-come,
     * first-served order.
     */
    private static boolean yieldsFreedSlot(TrackedEndpoint e, long now) {
        return e.load().slotsUsed() > e.registration().slots() - MIN_FREE_SLOTS_WITHOUT_YIELD
                && e.load().slotFreedWithin(LATE_CALL_YIELD_MS, now);
    }

    private PlacementDecision placePlain(CallRequirements requirements, List<TrackedEndpoint> candidates, long now) {
        Optional<TrackedEndpoint> best = candidates.stream()
                .filter(e -> e.load().slotsUsed() < e.registration().slots())
                .min(Comparator.comparingDouble(e -> (e.load().slotsUsed() + 1)
                        / (double) e.registration().slots()
                        / Math.pow(1.01 - e.failureRate(), 3)));
        if (best.isEmpty()) {
            return new PlacementDecision.Wait(candidates.isEmpty() ? "all endpoints are full or cold" : "no free slot");
        }
        TrackedEndpoint e = best.get();
        Allocation allocation = new Allocation(
                requirements.id(),
                e.registration().id(),
                true,
                0,
                0,
                requirements.objectiveMs(),
                0,
                requirements.onTimeGain());
        return new PlacementDecision.Send(e, List.of(), List.of(allocation), 0, 0, 0);
    }

    private PlacementDecision placePrompt(
            CallRequirements requirements,
            EngineCostModel engine,
            List<TrackedEndpoint> candidates,
            double waitedMs,
            long now) {
        double prefillMs = engine.prefillMs(requirements.promptTokens());
        Candidate best = null;
        for (int parts : PART_COUNTS) {
            if (parts > 1 && prefillMs / parts < MIN_PART_MS) {
                break;
            }
            Candidate candidate = bestCandidate(
                    requirements, engine, candidates, PromptSplit.of(requirements, engine, parts), waitedMs, now);
            if (candidate == null) {
                continue;
            }
            if (best == null
                    || candidate.cost() < best.cost() - 1e-9
                    || candidate.cost() < best.cost() + 1e-9 && candidate.firstEventMs < best.firstEventMs * 0.8) {
                best = candidate;
            }
            if (candidate.cost() == 0 && candidate.firstEventMs <= requirements.objectiveMs() * EARLY_ENOUGH_FRACTION) {
                break;
            }
        }
        if (best == null) {
            return new PlacementDecision.Wait(
                    candidates.isEmpty() ? "all engines are full or cold" : "no engine with a slot and memory");
        }
        double idleFirstEventMs = prefillMs + engine.decodeIterationMs(1, requirements.promptTokens());
        return shouldSend(requirements, best, waitedMs, idleFirstEventMs)
                ? send(requirements, best)
                : new PlacementDecision.Wait(
                        "every place would make calls late, of the weight " + Math.round(best.cost()));
    }

    /**
     * Returns whether to send the call to the best candidate now rather than to wait for a better one.
     *
     * <p>A call waits for a candidate without cost as long as it can still be on time afterwards. After that, it takes
     * a candidate that makes other calls late only if its own value exceeds theirs. A call that is late in any case
     * makes calls late that would be on time only if the value of its late answer exceeds theirs.
     */
    private static boolean shouldSend(
            CallRequirements requirements, Candidate best, double waitedMs, double idleFirstEventMs) {
        double usableMs = requirements.objectiveMs() * USABLE_OBJECTIVE_FRACTION - waitedMs - RETRY_INTERVAL_MS;
        if (best.isLate()) {
            boolean improvesByWaiting = idleFirstEventMs < usableMs;
            return !improvesByWaiting && best.harmToOthers < requirements.lateValue();
        }
        boolean canWait = best.firstEventMs < usableMs;
        return best.harmToOthers == 0 || !canWait && best.harmToOthers < requirements.onTimeGain();
    }

    /** Returns the best candidate for the given split of the prompt, or null if there is none. */
    private Candidate bestCandidate(
            CallRequirements requirements,
            EngineCostModel engine,
            List<TrackedEndpoint> candidates,
            PromptSplit split,
            double waitedMs,
            long now) {
        double prefillMs = split.prefillMs;
        long usableTokens = usableTokens(engine);
        boolean shortPrompt = requirements.isShort();
        List<RankedEndpoint> ranked = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            TrackedEndpoint e = candidates.get(i);
            EndpointLoad load = e.load();
            if (load.memoryTokens() + split.minTokens() > usableTokens
                    || load.helperParts() >= e.registration().slots()) {
                continue;
            }
            double iterationMs = load.iterationMs(engine, prefillMs, now);
            double firstEventMs = load.firstEventMs(engine, prefillMs, now) + e.expectedDelayMs(now);
            // Streams that arrive during a long prefill are delayed like those that are already running.
            double harmToOthers =
                    load.gapViolationCost(iterationMs, USABLE_GAP_FRACTION) * (1 + prefillMs / TYPICAL_STREAM_MS);
            if (split.parts > 1) {
                // Two prompts that are split at the same moment use mostly the same engines.
                harmToOthers = Math.max(harmToOthers, load.gapViolationCost(iterationMs + prefillMs, 1));
                harmToOthers += load.prefillDelayCost(engine, prefillMs, now);
            }
            double ownCost = waitedMs + firstEventMs > requirements.objectiveMs() * USABLE_OBJECTIVE_FRACTION
                    ? requirements.onTimeGain()
                    : 0;
            boolean hasFreeSlot = load.slotsUsed() < e.registration().slots();
            int position = shortPrompt ? i : candidates.size() - i;
            // Less crowded engines go first, so that calls placed at the same moment do not fill up a single engine.
            double crowding = shortPrompt
                    ? Math.floor(load.slotsUsed() / (e.registration().slots() * CROWDING_STEP_FRACTION))
                    : load.prefillRemainingMs(now);
            ranked.add(new RankedEndpoint(e, harmToOthers, ownCost, firstEventMs, crowding, hasFreeSlot, position));
        }
        ranked.sort(Comparator.comparingDouble(RankedEndpoint::cost)
                .thenComparingDouble(RankedEndpoint::crowding)
                .thenComparingInt(RankedEndpoint::position));
        Candidate chosen = choose(requirements, ranked, split, usableTokens, spreadWidth(now));
        if (chosen == null || prefillMs <= MAX_FREE_PREFILL_MS) {
            return chosen;
        }
        double missing = missingFreeEngines(candidates, chosen.engines, now);
        double harmToOthers = chosen.harmToOthers + missing * MISSING_FREE_ENGINE_COST;
        return new Candidate(split, chosen.engines, harmToOthers, chosen.ownCost, chosen.firstEventMs);
    }

    /** Returns the number of engines that would be missing from the headroom for short prompts. */
    private static double missingFreeEngines(List<TrackedEndpoint> candidates, List<TrackedEndpoint> chosen, long now) {
        long free = candidates.stream()
                .filter(e -> !chosen.contains(e) && e.load().prefillRemainingMs(now) <= MAX_FREE_PREFILL_MS)
                .count();
        return Math.max(0, Math.ceil(candidates.size() * FREE_ENGINE_FRACTION) - free);
    }

    private record RankedEndpoint(
            TrackedEndpoint endpoint,
            double harmToOthers,
            double ownCost,
            double firstEventMs,
            double crowding,
            boolean hasFreeSlot,
            int position) {
        private double cost() {
            return harmToOthers + ownCost;
        }
    }

    /** Returns the number of equally good engines over which calls are spread. */
    private int spreadWidth(long now) {
        return (now - startedAt) / 1e6 < PEER_DISCOVERY_MS ? SPREAD_WIDTH_AFTER_START : SPREAD_WIDTH;
    }

    private static Candidate choose(
            CallRequirements requirements,
            List<RankedEndpoint> ranked,
            PromptSplit split,
            long usableTokens,
            int spreadWidth) {
        List<RankedEndpoint> available = ranked.stream()
                .filter(r -> r.hasFreeSlot && r.endpoint.load().memoryTokens() + split.responderTokens <= usableTokens)
                .toList();
        if (available.isEmpty() || ranked.size() < split.parts) {
            return null;
        }
        RankedEndpoint best = available.getFirst();
        List<RankedEndpoint> tied = available.stream()
                .filter(r -> r.cost() <= best.cost() && r.crowding <= best.crowding)
                .limit(spreadWidth)
                .toList();
        RankedEndpoint first = tied.get(Math.floorMod(requirements.id().hashCode(), tied.size()));
        List<TrackedEndpoint> chosen = new ArrayList<>();
        chosen.add(first.endpoint);
        double harmToOthers = first.harmToOthers;
        double ownCost = first.ownCost;
        double firstEventMs = first.firstEventMs;
        for (int i = 0; i < ranked.size() && chosen.size() < split.parts; i++) {
            RankedEndpoint r = ranked.get(i);
            if (r != first) {
                chosen.add(r.endpoint);
                harmToOthers += r.harmToOthers;
                ownCost = Math.max(ownCost, r.ownCost);
                firstEventMs = Math.max(firstEventMs, r.firstEventMs);
            }
        }
        return new Candidate(split, chosen, harmToOthers, ownCost, firstEventMs);
    }

    private static PlacementDecision send(CallRequirements requirements, Candidate candidate) {
        PromptSplit split = candidate.split;
        List<Allocation> allocations = new ArrayList<>();
        for (TrackedEndpoint e : candidate.engines) {
            boolean first = allocations.isEmpty();
            allocations.add(new Allocation(
                    requirements.id(),
                    e.registration().id(),
                    first,
                    split.prefillMs,
                    first ? split.responderTokens : split.helperTokens,
                    requirements.objectiveMs(),
                    first ? requirements.gapObjectiveMs() : 0,
                    // A call that is late anyway loses no value through longer gaps.
                    candidate.isLate() ? 0 : requirements.onTimeGain()));
        }
        return new PlacementDecision.Send(
                candidate.engines.getFirst(),
                candidate.engines.subList(1, candidate.engines.size()),
                allocations,
                split.reserved ? split.responderTokens : 0,
                candidate.firstEventMs,
                candidate.cost());
    }
}
