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
    private static final double USABLE_GAP = 0.8;

    /** Part of the objective that may be planned; seen times exceed planned ones by a tenth of it in one of ten calls. */
    private static final double USABLE_OBJECTIVE = 0.85;

    /** Part of the objective at which a placement counts as early enough. */
    private static final double EARLY_ENOUGH = 0.6;

    /** Part of the caller's patience for which a call waits for a place. */
    private static final double LONGEST_WAIT = 0.6;

    /** Time within which a waiting call is looked at again, with some room for delays, in milliseconds. */
    private static final double LOOK_AGAIN_MS = 15;

    /** Time after which a call that found no place may come back: least and spread, in milliseconds. */
    private static final long NO_PLACE_RETRY_MS = 800;

    private static final long NO_PLACE_RETRY_SPREAD_MS = 800;

    /**
     * Time for which a late call leaves a slot to others, in milliseconds: within it every instance has heard of the slot and
     * has looked whether one of its calls can still be on time.
     */
    private static final double GIVE_WAY_MS = 30;

    /** Free slots above which there is no need to give way. */
    private static final int SLOTS_TO_SPARE = 3;

    /** Part of an engine's memory that may be planned; the newest call is preempted when it runs out. */
    private static final double USABLE_MEMORY = 0.94;

    /** Usual time of a short stream, in which the streams at an engine are replaced by others, in milliseconds. */
    private static final double USUAL_STREAM_MS = 1_500;

    /** Part of an engine's slots that makes one step of crowding. */
    private static final double CROWD_STEP = 0.6;

    /**
     * Engines among which calls are spread that find the same ones best: two instances choose at the same moment before
     * they hear of each other.
     */
    private static final int ALIKE = 3;

    /** The same for an instance that has just started, when its peers may have started too and none hears of the others. */
    private static final int ALIKE_AFTER_START = 8;

    /** Time after which an instance has met its peers, in milliseconds; with all started at once it took 0.4 to 0.7 s. */
    private static final double START_MS = 1_500;

    /** The numbers of parts that are tried; an engine takes at most 16 helpers. */
    private static final int[] PARTS = {1, 2, 3, 4, 6, 8, 11, 14, 17};

    /** Shortest part that is worth an engine's attention, in milliseconds. */
    private static final double SHORTEST_PART_MS = 60;

    /** Reading left up to which an engine counts as free for short prompts, in milliseconds. */
    private static final double FREE_READ_MS = 100;

    /** Part of the engines that long prompts leave free, so that short ones find a place when their number jumps. */
    private static final double KEPT_FREE = 0.2;

    /** What each engine missing from that part costs, in short calls that would come there while it reads. */
    private static final double KEPT_FREE_WEIGHT = 4;

    /** Time after which a call without any usable endpoint may come back, in milliseconds. */
    private static final long NO_ENDPOINT_RETRY_MS = 1_000;

    private final EndpointRegistry fleet;
    private final Ticker ticker;
    private final long startedAt;

    private CallScheduler(EndpointRegistry fleet, Ticker ticker) {
        this.fleet = fleet;
        this.ticker = ticker;
        this.startedAt = ticker.nanos();
    }

    /** Returns a placer on the fleet. */
    public static CallScheduler on(EndpointRegistry fleet, Ticker ticker) {
        return new CallScheduler(fleet, ticker);
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
    private record Option(Division division, List<TrackedEndpoint> engines, double harm, double own, double firstMs) {
        private double cost() {
            return harm + own;
        }

        private boolean isLate() {
            return own > 0;
        }
    }

    /**
     * What each engine gets of a prompt that is read in even parts.
     *
     * @param parts engines that read it
     * @param readMs time to read one part, in milliseconds
     * @param firstTokens memory at the engine that answers
     * @param otherTokens memory at each of the others
     * @param reserved whether the prompt fits into no engine, so that the memory at each is reserved
     */
    private record Division(int parts, double readMs, long firstTokens, long otherTokens, boolean reserved) {
        private static Division of(CallRequirements demand, EngineCostModel engine, int parts) {
            double readMs = engine.prefillMs(demand.promptTokens()) / parts;
            long memory = demand.promptTokens() + demand.outputTokens();
            long each = memory / parts + 1;
            return memory > usableTokens(engine)
                    ? new Division(parts, readMs, each, each, true)
                    : new Division(parts, readMs, memory, 0, false);
        }

        /** Returns the least memory that an engine needs to take any part. */
        private long leastTokens() {
            return parts == 1 ? firstTokens : otherTokens;
        }
    }

    private static long usableTokens(EngineCostModel engine) {
        return (long) (engine.kvCapacityTokens() * USABLE_MEMORY);
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
            CallRequirements demand, ServiceSpec service, Set<EndpointId> tried, double waitedMs) {
        long now = ticker.nanos();
        List<TrackedEndpoint> usable = fleet.usable(demand.service()).stream()
                .filter(e -> !tried.contains(e.registration().id()))
                .toList();
        if (usable.isEmpty()) {
            return new PlacementDecision.Refuse("no usable endpoint of " + demand.service(), NO_ENDPOINT_RETRY_MS);
        }
        boolean lastLook = waitedMs > demand.callerTimeoutMs() * LONGEST_WAIT;
        boolean givesWay = !demand.canBeOnTime(waitedMs) && !lastLook;
        List<TrackedEndpoint> able = usable.stream()
                .filter(e -> !e.isFull(now) && !e.isColdAndBusy(service.coldCallsPerSecond(), now))
                .filter(e -> !givesWay || !isWanted(e, now))
                .toList();
        List<TrackedEndpoint> sound =
                able.stream().filter(e -> !e.isBackedOff(now)).toList();
        // Where all have failed lately, one of them is a better chance than a wait.
        List<TrackedEndpoint> open = sound.isEmpty() ? able : sound;
        PlacementDecision found = service.engine().isPresent() && demand.promptTokens() > 0
                ? placePrompt(demand, service.engine().get(), open, waitedMs, now)
                : placePlain(demand, open, now);
        if (found instanceof PlacementDecision.Wait && lastLook) {
            long spread = Math.floorMod(demand.id().hashCode(), NO_PLACE_RETRY_SPREAD_MS);
            return new PlacementDecision.Refuse("no place in time", NO_PLACE_RETRY_MS + spread);
        }
        return found;
    }

    /**
     * Tells whether calls that can be on time may want the free slot of an endpoint.
     *
     * <p>Each instance has its own line, so in an overload a late call at one instance would take a slot for which a call at
     * another one waits that is not late yet; then most calls would be late, as if all waited in order of arrival.
     */
    private static boolean isWanted(TrackedEndpoint e, long now) {
        return e.load().slotsUsed() > e.registration().slots() - SLOTS_TO_SPARE
                && e.load().freedASlotWithin(GIVE_WAY_MS, now);
    }

    private PlacementDecision placePlain(CallRequirements demand, List<TrackedEndpoint> open, long now) {
        Optional<TrackedEndpoint> best = open.stream()
                .filter(e -> e.load().slotsUsed() < e.registration().slots())
                .min(Comparator.comparingDouble(e -> (e.load().slotsUsed() + 1)
                        / (double) e.registration().slots()
                        / Math.pow(1.01 - e.failureRate(), 3)));
        if (best.isEmpty()) {
            return new PlacementDecision.Wait(open.isEmpty() ? "all endpoints are full or cold" : "no free slot");
        }
        TrackedEndpoint e = best.get();
        Allocation work = new Allocation(
                demand.id(), e.registration().id(), true, 0, 0, demand.objectiveMs(), 0, demand.onTimeGain());
        return new PlacementDecision.Send(e, List.of(), List.of(work), 0, 0, 0);
    }

    private PlacementDecision placePrompt(
            CallRequirements demand, EngineCostModel engine, List<TrackedEndpoint> open, double waitedMs, long now) {
        double readMs = engine.prefillMs(demand.promptTokens());
        Option best = null;
        for (int parts : PARTS) {
            if (parts > 1 && readMs / parts < SHORTEST_PART_MS) {
                break;
            }
            Option option = option(demand, engine, open, Division.of(demand, engine, parts), waitedMs, now);
            if (option == null) {
                continue;
            }
            if (best == null
                    || option.cost() < best.cost() - 1e-9
                    || option.cost() < best.cost() + 1e-9 && option.firstMs < best.firstMs * 0.8) {
                best = option;
            }
            if (option.cost() == 0 && option.firstMs <= demand.objectiveMs() * EARLY_ENOUGH) {
                break;
            }
        }
        if (best == null) {
            return new PlacementDecision.Wait(
                    open.isEmpty() ? "all engines are full or cold" : "no engine with a slot and memory");
        }
        double idleFirstMs = readMs + engine.decodeIterationMs(1, demand.promptTokens());
        return maySend(demand, best, waitedMs, idleFirstMs)
                ? send(demand, best)
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
    private static boolean maySend(CallRequirements demand, Option best, double waitedMs, double idleFirstMs) {
        double usableMs = demand.objectiveMs() * USABLE_OBJECTIVE - waitedMs - LOOK_AGAIN_MS;
        if (best.isLate()) {
            boolean better = idleFirstMs < usableMs;
            return !better && best.harm < demand.lateValue();
        }
        boolean canWait = best.firstMs < usableMs;
        return best.harm == 0 || !canWait && best.harm < demand.onTimeGain();
    }

    /** Returns the best way to read the prompt with the given division, or null where there is none. */
    private Option option(
            CallRequirements demand,
            EngineCostModel engine,
            List<TrackedEndpoint> open,
            Division division,
            double waitedMs,
            long now) {
        double readMs = division.readMs;
        long usableTokens = usableTokens(engine);
        boolean shortPrompt = demand.isShort();
        List<Rated> rated = new ArrayList<>();
        for (int i = 0; i < open.size(); i++) {
            TrackedEndpoint e = open.get(i);
            EndpointLoad load = e.load();
            if (load.memoryTokens() + division.leastTokens() > usableTokens
                    || load.helperParts() >= e.registration().slots()) {
                continue;
            }
            double pass = load.iterationMs(engine, readMs, now);
            double first = load.firstEventMs(engine, readMs, now) + e.expectedDelayMs(now);
            // Calls that arrive during a long reading are delayed like those that are there.
            double harm = load.gapViolationCost(pass, USABLE_GAP) * (1 + readMs / USUAL_STREAM_MS);
            if (division.parts > 1) {
                // Two prompts that are divided at the same moment share most of their engines.
                harm = Math.max(harm, load.gapViolationCost(pass + readMs, 1));
                harm += load.prefillDelayCost(engine, readMs, now);
            }
            double own = waitedMs + first > demand.objectiveMs() * USABLE_OBJECTIVE ? demand.onTimeGain() : 0;
            boolean slot = load.slotsUsed() < e.registration().slots();
            int place = shortPrompt ? i : open.size() - i;
            // Engines with room to spare go first, so that calls placed at the same moment do not fill one up.
            double crowd = shortPrompt
                    ? Math.floor(load.slotsUsed() / (e.registration().slots() * CROWD_STEP))
                    : load.prefillRemainingMs(now);
            rated.add(new Rated(e, harm, own, first, crowd, slot, place));
        }
        rated.sort(Comparator.comparingDouble(Rated::loss)
                .thenComparingDouble(Rated::crowd)
                .thenComparingInt(Rated::place));
        Option chosen = choose(demand, rated, division, usableTokens, alike(now));
        if (chosen == null || readMs <= FREE_READ_MS) {
            return chosen;
        }
        double missing = enginesMissing(open, chosen.engines, now);
        double harm = chosen.harm + missing * KEPT_FREE_WEIGHT;
        return new Option(division, chosen.engines, harm, chosen.own, chosen.firstMs);
    }

    /** Returns how many engines fewer than wanted would be free for short prompts. */
    private static double enginesMissing(List<TrackedEndpoint> open, List<TrackedEndpoint> taken, long now) {
        long free = open.stream()
                .filter(e -> !taken.contains(e) && e.load().prefillRemainingMs(now) <= FREE_READ_MS)
                .count();
        return Math.max(0, Math.ceil(open.size() * KEPT_FREE) - free);
    }

    private record Rated(
            TrackedEndpoint state, double harm, double own, double firstMs, double crowd, boolean slot, int place) {
        private double loss() {
            return harm + own;
        }
    }

    /** Returns among how many engines that look alike calls are spread. */
    private int alike(long now) {
        return (now - startedAt) / 1e6 < START_MS ? ALIKE_AFTER_START : ALIKE;
    }

    private static Option choose(
            CallRequirements demand, List<Rated> rated, Division division, long usableTokens, int alikeCount) {
        List<Rated> able = rated.stream()
                .filter(r -> r.slot && r.state.load().memoryTokens() + division.firstTokens <= usableTokens)
                .toList();
        if (able.isEmpty() || rated.size() < division.parts) {
            return null;
        }
        Rated best = able.getFirst();
        List<Rated> alike = able.stream()
                .filter(r -> r.loss() <= best.loss() && r.crowd <= best.crowd)
                .limit(alikeCount)
                .toList();
        Rated first = alike.get(Math.floorMod(demand.id().hashCode(), alike.size()));
        List<TrackedEndpoint> chosen = new ArrayList<>();
        chosen.add(first.state);
        double harm = first.harm;
        double own = first.own;
        double firstMs = first.firstMs;
        for (int i = 0; i < rated.size() && chosen.size() < division.parts; i++) {
            Rated r = rated.get(i);
            if (r != first) {
                chosen.add(r.state);
                harm += r.harm;
                own = Math.max(own, r.own);
                firstMs = Math.max(firstMs, r.firstMs);
            }
        }
        return new Option(division, chosen, harm, own, firstMs);
    }

    private static PlacementDecision send(CallRequirements demand, Option option) {
        Division division = option.division;
        List<Allocation> works = new ArrayList<>();
        for (TrackedEndpoint e : option.engines) {
            boolean first = works.isEmpty();
            works.add(new Allocation(
                    demand.id(),
                    e.registration().id(),
                    first,
                    division.readMs,
                    first ? division.firstTokens : division.otherTokens,
                    demand.objectiveMs(),
                    first ? demand.gapObjectiveMs() : 0,
                    // A call that is late already loses nothing by a longer pause.
                    option.isLate() ? 0 : demand.onTimeGain()));
        }
        return new PlacementDecision.Send(
                option.engines.getFirst(),
                option.engines.subList(1, option.engines.size()),
                works,
                division.reserved ? division.firstTokens : 0,
                option.firstMs,
                option.cost());
    }
}
