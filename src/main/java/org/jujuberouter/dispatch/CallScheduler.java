package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.PromptCandidate.RankedEngine;
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
    static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 11, 14, 17};

    /** Minimum prefill time of a part; splitting into shorter parts is not worth the overhead. */
    static final double MIN_PART_MS = 60;

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
    private final DomainPolicy domains;
    private final WaitPolicy waits;
    private final EngineReservations reservations = new EngineReservations();
    private final boolean reserves;
    private final long startedAt;

    private CallScheduler(EndpointRegistry registry, Ticker ticker, DomainPolicy domains, QueueMode queueMode) {
        this.registry = registry;
        this.domains = domains;
        this.waits = new WaitPolicy(registry, queueMode);
        this.reserves = queueMode == QueueMode.RESERVED;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    /** Returns a scheduler that places calls on the endpoints of the registry, without regard to failure domains. */
    public static CallScheduler on(EndpointRegistry registry, Ticker ticker) {
        return on(registry, ticker, DomainPolicy.ignoringDomains());
    }

    /** Returns a scheduler that places calls on the endpoints of the registry. */
    public static CallScheduler on(EndpointRegistry registry, Ticker ticker, DomainPolicy domains) {
        return on(registry, ticker, domains, QueueMode.PREDICTED);
    }

    /** Returns a scheduler that places calls on the endpoints of the registry. */
    public static CallScheduler on(
            EndpointRegistry registry, Ticker ticker, DomainPolicy domains, QueueMode queueMode) {
        return new CallScheduler(registry, ticker, domains, queueMode);
    }

    /** Sets the calls that go before the one that is being placed, for the prediction of its time. */
    public CallScheduler behind(CallCounts ahead) {
        waits.setAhead(ahead);
        return this;
    }

    /** Returns the engines that are kept for the largest prompts. */
    public EngineReservations reservations() {
        return reservations;
    }

    /** Sets the number of instances that place calls on the same engines, including this one. */
    public void setSharers(int instances) {
        waits.setSharers(instances);
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
        boolean yields = (yieldsLate || yieldsDeferred) && (!waitExhausted || waits.keepsLateCalls());
        List<TrackedEndpoint> usable = registry.usable(requirements.service());
        List<TrackedEndpoint> open = reservations.open(usable, requirements, service, now);
        PlacementDecision decision = placeAmong(open, requirements, service, tried, waitedMs, yields, now);
        if (open != usable && !(decision instanceof PlacementDecision.Send) && reservations.isWorthMore(requirements)) {
            decision = placeAmong(usable, requirements, service, tried, waitedMs, yields, now);
        }
        if (decision instanceof PlacementDecision.Wait wait) {
            decision = waits.decide(requirements, service, tried, waitedMs, wait, waitExhausted, now);
            if (yields && decision instanceof PlacementDecision.Refuse r && !r.unservable()) {
                // Takes what it would have left to others rather than being rejected.
                PlacementDecision last = placeAmong(usable, requirements, service, tried, waitedMs, false, now);
                decision = last instanceof PlacementDecision.Send ? last : decision;
            }
        }
        if (reserves && decision instanceof PlacementDecision.Wait) {
            service.engine().ifPresent(engine -> reservations.reserve(requirements, engine, usable, now));
        } else {
            reservations.end(requirements.id(), decision instanceof PlacementDecision.Send);
        }
        if (decision instanceof PlacementDecision.Send send) {
            send.endpoint().domain().recordPlaced(now);
            send.helpers().forEach(h -> h.domain().recordPlaced(now));
        }
        return decision;
    }

    private PlacementDecision placeAmong(
            List<TrackedEndpoint> usable,
            CallRequirements requirements,
            ServiceSpec service,
            Set<EndpointId> tried,
            double waitedMs,
            boolean yields,
            long now) {
        EligibleEndpoints eligible =
                EligibleEndpoints.of(usable, tried, domains, service.coldCallsPerSecond(), yields, now);
        if (eligible.isNoneUsable()) {
            return new PlacementDecision.Refuse(
                    "no usable endpoint of " + requirements.service(),
                    WaitPolicy.retryWithoutEndpointMs(requirements, waitedMs, NO_ENDPOINT_RETRY_MS));
        }
        return service.engine().isPresent() && requirements.promptTokens() > 0
                ? placePrompt(requirements, service.engine().get(), eligible, waitedMs, now)
                : placePlain(requirements, eligible);
    }

    private PlacementDecision placePlain(CallRequirements requirements, EligibleEndpoints eligible) {
        List<TrackedEndpoint> candidates = eligible.candidates();
        Optional<TrackedEndpoint> best = candidates.stream()
                .filter(e -> e.load().slotsUsed() < e.registration().slots())
                .min(Comparator.comparingDouble(e -> domains.plainLoadMargin(e)
                        + (e.load().slotsUsed() + 1)
                                / (double) e.registration().slots()
                                / Math.pow(1.01 - e.failureRate(), 3)));
        if (best.isEmpty()) {
            return new PlacementDecision.Wait(
                    candidates.isEmpty() ? "all endpoints are full or cold" : "no free slot", eligible.whyNotAway());
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
        return new PlacementDecision.Send(e, List.of(), List.of(allocation), 0, 0, 0, awayReason(e, eligible));
    }

    /** Returns why a call that the endpoint answers was not placed in the domain of this instance. */
    private AwayReason awayReason(TrackedEndpoint responder, EligibleEndpoints eligible) {
        if (!domains.prefersHome() || domains.isHome(responder.domain())) {
            return AwayReason.NONE;
        }
        for (TrackedEndpoint e : eligible.candidates()) {
            if (domains.isHome(e.domain())
                    && e.load().slotsUsed() < e.registration().slots()) {
                return AwayReason.HOME_LATE;
            }
        }
        return eligible.homeState();
    }

    private PlacementDecision placePrompt(
            CallRequirements requirements,
            EngineCostModel engine,
            EligibleEndpoints eligible,
            double waitedMs,
            long now) {
        List<TrackedEndpoint> candidates = eligible.candidates();
        // Only parts of a longer prefill are charged for the headroom.
        int free = engine.prefillMs(requirements.promptTokens()) > MAX_FREE_PREFILL_MS ? countFree(candidates, now) : 0;
        PromptSearch search = new PromptSearch(requirements, engine, candidates, free, waitedMs, now);
        PromptCandidate best = best(search, candidates);
        if (best != null && domains.isAway(best) && domains.mayKeepHome(requirements, engine.network())) {
            PromptCandidate atHome = best(search, ofHome(candidates));
            best = atHome != null && domains.keepsHome(requirements, engine.network(), atHome, best) ? atHome : best;
        }
        if (best == null) {
            return new PlacementDecision.Wait(
                    candidates.isEmpty() ? "all engines are full or cold" : "no engine with a slot and memory",
                    eligible.whyNotAway());
        }
        double idleFirstEventMs = engine.prefillMs(requirements.promptTokens())
                + engine.decodeIterationMs(1, requirements.promptTokens());
        return shouldSend(requirements, best, waitedMs, idleFirstEventMs)
                ? send(requirements, best, awayReason(best.engines().getFirst(), eligible))
                : new PlacementDecision.Wait(
                        "every place would make calls late, of the weight " + Math.round(best.cost()),
                        eligible.whyNotAway());
    }

    private List<TrackedEndpoint> ofHome(List<TrackedEndpoint> candidates) {
        List<TrackedEndpoint> home = new ArrayList<>();
        for (TrackedEndpoint e : candidates) {
            if (domains.isHome(e.domain())) {
                home.add(e);
            }
        }
        return home;
    }

    /**
     * A search for a place of a prompt.
     *
     * @param candidates all engines that may be used, also outside the domain
     * @param freeEngines number of candidates that count as free for short prompts
     */
    private record PromptSearch(
            CallRequirements requirements,
            EngineCostModel engine,
            List<TrackedEndpoint> candidates,
            int freeEngines,
            double waitedMs,
            long now) {}

    /** Returns the best candidate on the given engines, over all numbers of parts, or null if there is none. */
    private PromptCandidate best(PromptSearch search, List<TrackedEndpoint> engines) {
        CallRequirements requirements = search.requirements;
        double prefillMs = search.engine.prefillMs(requirements.promptTokens());
        PromptCandidate best = null;
        for (int parts : PART_COUNTS) {
            if (parts > 1 && prefillMs / parts < MIN_PART_MS) {
                break;
            }
            PromptSplit split = PromptSplit.of(requirements, search.engine, parts);
            PromptCandidate candidate = bestCandidate(search, engines, split);
            if (candidate == null) {
                continue;
            }
            if (best == null
                    || candidate.cost() < best.cost()
                    || candidate.cost() == best.cost() && candidate.firstEventMs() < best.firstEventMs() * 0.8) {
                best = candidate;
            }
            if (candidate.cost() == 0
                    && candidate.firstEventMs() <= requirements.objectiveMs() * EARLY_ENOUGH_FRACTION) {
                break;
            }
        }
        return best;
    }

    /**
     * Returns whether to send the call to the best candidate now rather than to wait for a better one.
     *
     * <p>A call waits for a candidate without cost as long as it can still be on time afterwards. After that, it takes
     * a candidate that makes other calls late only if its own value exceeds theirs. A call that is late in any case
     * makes calls late that would be on time only if the value of its late answer exceeds theirs.
     */
    private static boolean shouldSend(
            CallRequirements requirements, PromptCandidate best, double waitedMs, double idleFirstEventMs) {
        double usableMs = requirements.objectiveMs() * USABLE_OBJECTIVE_FRACTION - waitedMs - RETRY_INTERVAL_MS;
        if (best.isLate()) {
            boolean improvesByWaiting = idleFirstEventMs < usableMs;
            return !improvesByWaiting && best.harmToOthers() < requirements.lateValue();
        }
        boolean canWait = best.firstEventMs() < usableMs;
        return best.harmToOthers() == 0 || !canWait && best.harmToOthers() < requirements.onTimeGain();
    }

    /** Returns the best candidate for the given split of the prompt, or null if there is none. */
    private PromptCandidate bestCandidate(PromptSearch search, List<TrackedEndpoint> engines, PromptSplit split) {
        CallRequirements requirements = search.requirements;
        EngineCostModel engine = search.engine;
        long now = search.now;
        double prefillMs = split.prefillMs();
        long usableTokens = PromptSplit.usableTokens(engine);
        boolean shortPrompt = requirements.isShort();
        List<RankedEngine> ranked = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            TrackedEndpoint e = engines.get(i);
            EndpointLoad load = e.load();
            boolean hasFreeSlot = load.slotsUsed() < e.registration().slots();
            if (!hasFreeSlot && split.parts() == 1
                    || load.memoryTokens() + split.minTokens() > usableTokens
                    || load.helperParts() >= e.registration().slots()) {
                continue;
            }
            double iterationMs = load.iterationMs(engine, prefillMs, now);
            double firstEventMs = load.firstEventMs(engine, prefillMs, now)
                    + e.expectedDelayMs(now)
                    + domains.roundTripMs(e.domain(), engine.network());
            // Streams that arrive during a long prefill are delayed like those that are already running.
            double harmToOthers =
                    load.gapViolationCost(iterationMs, USABLE_GAP_FRACTION) * (1 + prefillMs / TYPICAL_STREAM_MS);
            if (split.parts() > 1) {
                // Two prompts that are split at the same moment use mostly the same engines.
                harmToOthers = Math.max(harmToOthers, load.gapViolationCost(iterationMs + prefillMs, 1));
                harmToOthers += load.prefillDelayCost(engine, prefillMs, now);
            }
            double ownCost = search.waitedMs + firstEventMs > requirements.objectiveMs() * USABLE_OBJECTIVE_FRACTION
                    ? requirements.onTimeGain()
                    : 0;
            int position = shortPrompt ? i : engines.size() - i;
            // Less crowded engines go first, so that calls placed at the same moment do not fill up a single engine.
            double crowding = shortPrompt
                    ? Math.floor(load.slotsUsed() / (e.registration().slots() * CROWDING_STEP_FRACTION))
                    : load.prefillRemainingMs(now);
            ranked.add(new RankedEngine(e, harmToOthers, ownCost, firstEventMs, crowding, hasFreeSlot, position));
        }
        ranked.sort(RankedEngine.BEST_FIRST);
        PromptCandidate chosen = PromptCandidate.choose(
                requirements,
                ranked,
                split,
                usableTokens,
                spreadWidth(now),
                equallyGood -> domains.preferred(equallyGood, search.candidates, now));
        return chosen == null || prefillMs <= MAX_FREE_PREFILL_MS
                ? chosen
                : chosen.withMoreHarm(missingFreeEngines(search, chosen.engines()) * MISSING_FREE_ENGINE_COST);
    }

    /** Returns whether an engine has room for a burst of short prompts. */
    static boolean isFree(TrackedEndpoint e, long now) {
        return e.load().prefillRemainingMs(now) <= MAX_FREE_PREFILL_MS
                && e.load().slotsUsed() < e.registration().slots() * CROWDING_STEP_FRACTION;
    }

    /** Returns the number of engines that would be missing from the headroom for short prompts. */
    private static double missingFreeEngines(PromptSearch search, List<TrackedEndpoint> chosen) {
        int free = search.freeEngines - countFree(chosen, search.now);
        return Math.max(0, Math.ceil(search.candidates.size() * FREE_ENGINE_FRACTION) - free);
    }

    private static int countFree(List<TrackedEndpoint> engines, long now) {
        int free = 0;
        for (TrackedEndpoint e : engines) {
            if (e.load().prefillRemainingMs(now) <= MAX_FREE_PREFILL_MS) {
                free++;
            }
        }
        return free;
    }

    /** Returns the number of equally good engines over which calls are spread. */
    private int spreadWidth(long now) {
        return (now - startedAt) / 1e6 < PEER_DISCOVERY_MS ? SPREAD_WIDTH_AFTER_START : SPREAD_WIDTH;
    }

    private static PlacementDecision send(CallRequirements requirements, PromptCandidate candidate, AwayReason away) {
        PromptSplit split = candidate.split();
        List<Allocation> allocations = new ArrayList<>();
        for (TrackedEndpoint e : candidate.engines()) {
            boolean first = allocations.isEmpty();
            allocations.add(new Allocation(
                    requirements.id(),
                    e.registration().id(),
                    first,
                    split.prefillMs(),
                    first ? split.responderTokens() : split.helperTokens(),
                    requirements.objectiveMs(),
                    first ? requirements.gapObjectiveMs() : 0,
                    // A call that is late anyway loses no value through longer gaps.
                    candidate.isLate() ? 0 : requirements.onTimeGain()));
        }
        return new PlacementDecision.Send(
                candidate.engines().getFirst(),
                candidate.engines().subList(1, candidate.engines().size()),
                allocations,
                split.reserved() ? split.responderTokens() : 0,
                candidate.firstEventMs(),
                candidate.cost(),
                away);
    }
}
