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
 * Chooses the endpoint of a call, and the helpers that read parts of a long prompt.
 *
 * <p>An engine reads prompts between the tokens of its streams, so a long prompt lengthens the pauses of every stream
 * beside it. Each candidate is therefore judged by what would be late: the streams already there whose pause would grow
 * beyond their bound, and the call itself. Among candidates without loss, short prompts take the first in the common
 * order, long ones the last. A prompt that one engine reads too slowly is divided into the fewest even parts that make it
 * early enough.
 */
public final class CallScheduler {
    /** Part of a stream's pause that may be planned; the rest covers what the model does not see. */
    private static final double USABLE_GAP_FRACTION = 0.8;

    /** Part of the objective that may be planned; seen times exceed planned ones by a tenth of it in one of ten calls. */
    private static final double USABLE_OBJECTIVE_FRACTION = 0.85;

    /** Part of the objective at which a placement counts as early enough. */
    private static final double EARLY_ENOUGH_FRACTION = 0.6;

    /** Part of the caller's patience for which a call waits for a place. */
    private static final double MAX_WAIT_FRACTION = 0.6;

    /** Time within which a waiting call is looked at again, with some room for delays, in milliseconds. */
    private static final double RETRY_INTERVAL_MS = 15;

    /** Time after which a call that found no place may come back: least and spread, in milliseconds. */
    private static final long NO_CAPACITY_RETRY_MS = 800;

    private static final long NO_CAPACITY_RETRY_JITTER_MS = 800;

    /**
     * Time for which a late call leaves a slot to others, in milliseconds: within it every instance has heard of the slot and
     * has looked whether one of its calls can still be on time.
     */
    private static final double LATE_CALL_YIELD_MS = 30;

    /** Free slots above which there is no need to give way. */
    private static final int MIN_FREE_SLOTS_WITHOUT_YIELD = 3;

    /** Part of an engine's memory that may be planned; the newest call is preempted when it runs out. */
    private static final double USABLE_MEMORY_FRACTION = 0.94;

    /** Usual time of a short stream, in which the streams at an engine are replaced by others, in milliseconds. */
    private static final double TYPICAL_STREAM_MS = 1_500;

    /** Part of an engine's slots that makes one step of crowding. */
    private static final double CROWDING_STEP_FRACTION = 0.6;

    /**
     * Engines among which calls are spread that find the same ones best: two instances choose at the same moment before
     * they hear of each other.
     */
    private static final int SPREAD_WIDTH = 3;

    /** The same for an instance that has just started, when its peers may have started too and none hears of the others. */
    private static final int SPREAD_WIDTH_AFTER_START = 8;

    /** Time after which an instance has met its peers, in milliseconds; with all started at once it took 0.4 to 0.7 s. */
    private static final double PEER_DISCOVERY_MS = 1_500;

    /** The numbers of parts that are tried; an engine takes at most 16 helpers. */
    private static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 11, 14, 17};

    /** Shortest part that is worth an engine's attention, in milliseconds. */
    private static final double MIN_PART_MS = 60;

    /** Reading left up to which an engine counts as free for short prompts, in milliseconds. */
    private static final double MAX_FREE_PREFILL_MS = 100;

    /** Part of the engines that long prompts leave free, so that short ones find a place when their number jumps. */
    private static final double FREE_ENGINE_FRACTION = 0.2;

    /** What each engine missing from that part costs, in short calls that would come there while it reads. */
    private static final double MISSING_FREE_ENGINE_COST = 4;

    /** Time after which a call without any usable endpoint may come back, in milliseconds. */
    private static final long NO_ENDPOINT_RETRY_MS = 1_000;

    private final EndpointRegistry registry;
    private final Ticker ticker;
    private final long startedAt;

    private CallScheduler(EndpointRegistry registry, Ticker ticker) {
        this.registry = registry;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    /** Returns a placer on the fleet. */
    public static CallScheduler on(EndpointRegistry registry, Ticker ticker) {
        return new CallScheduler(registry, ticker);
    }

    /**
     * A way to read a prompt.
     *
     * @param division how it is divided
     * @param engines the engines, the one that answers first
     * @param harm weight of the calls that it makes late, and of those to come that it may make late
     * @param own weight of the call itself, if it would be late
     * @param firstMs time to the first event, in milliseconds
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
     * What each engine gets of a prompt that is read in even parts.
     *
     * @param parts engines that read it
     * @param readMs time to read one part, in milliseconds
     * @param responderTokens memory at the engine that answers
     * @param helperTokens memory at each of the others
     * @param reserved whether the prompt fits into no engine, so that the memory at each is reserved
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

        /** Returns the least memory that an engine needs to take any part. */
        private long minTokens() {
            return parts == 1 ? responderTokens : helperTokens;
        }
    }

    private static long usableTokens(EngineCostModel engine) {
        return (long) (engine.kvCapacityTokens() * USABLE_MEMORY_FRACTION);
    }

    /**
     * Decides on a call.
     *
     * @param demand what it needs
     * @param service the service as declared
     * @param tried endpoints that it was sent to before
     * @param waitedMs how long it has waited, in milliseconds
     */
    public PlacementDecision place(
            CallRequirements requirements, ServiceSpec service, Set<EndpointId> tried, double waitedMs) {
        long now = ticker.nanos();
        List<TrackedEndpoint> usable = registry.usable(requirements.service()).stream()
                .filter(e -> !tried.contains(e.registration().id()))
                .toList();
        if (usable.isEmpty()) {
            return new PlacementDecision.Refuse(
                    "no usable endpoint of " + requirements.service(), NO_ENDPOINT_RETRY_MS);
        }
        boolean waitExhausted = waitedMs > requirements.callerTimeoutMs() * MAX_WAIT_FRACTION;
        boolean yields = !requirements.canBeOnTime(waitedMs) && !waitExhausted;
        List<TrackedEndpoint> available = usable.stream()
                .filter(e -> !e.isFull(now) && !e.isColdLimitReached(service.coldCallsPerSecond(), now))
                .filter(e -> !yields || !yieldsFreedSlot(e, now))
                .toList();
        List<TrackedEndpoint> healthy =
                available.stream().filter(e -> !e.isBackedOff(now)).toList();
        // Where all have failed lately, one of them is a better chance than a wait.
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
     * Tells whether calls that can be on time may want the free slot of an endpoint.
     *
     * <p>Each instance has its own line, so in an overload a late call at one instance would take a slot for which a call at
     * another one waits that is not late yet; then most calls would be late, as if all waited in order of arrival.
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
     * Tells whether to take the best place there is now rather than to wait for a better one.
     *
     * <p>A call waits for a place without loss as long as it can be on time after the wait. At the end of that time it
     * takes a place that makes others late only if it is worth more than they are. A call that is late in any case makes no
     * call late that would be on time, unless what is left of its value is more than theirs.
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

    /** Returns the best way to read the prompt with the given division, or null where there is none. */
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
            // Calls that arrive during a long reading are delayed like those that are there.
            double harmToOthers =
                    load.gapViolationCost(iterationMs, USABLE_GAP_FRACTION) * (1 + prefillMs / TYPICAL_STREAM_MS);
            if (split.parts > 1) {
                // Two prompts that are divided at the same moment share most of their engines.
                harmToOthers = Math.max(harmToOthers, load.gapViolationCost(iterationMs + prefillMs, 1));
                harmToOthers += load.prefillDelayCost(engine, prefillMs, now);
            }
            double ownCost = waitedMs + firstEventMs > requirements.objectiveMs() * USABLE_OBJECTIVE_FRACTION
                    ? requirements.onTimeGain()
                    : 0;
            boolean hasFreeSlot = load.slotsUsed() < e.registration().slots();
            int position = shortPrompt ? i : candidates.size() - i;
            // Engines with room to spare go first, so that calls placed at the same moment do not fill one up.
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

    /** Returns how many engines fewer than wanted would be free for short prompts. */
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

    /** Returns among how many engines that look alike calls are spread. */
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
                    // A call that is late already loses nothing by a longer pause.
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
