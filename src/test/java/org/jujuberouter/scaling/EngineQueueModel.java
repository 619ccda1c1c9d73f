package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import org.jujuberouter.catalog.EngineCostModel;

/**
 * A queueing model of the engines under the mix of docs/design/scaling.md: short prompts fill the engines from the front,
 * long ones are split over engines whose streams bear the gap, as few as make them early, and leave a fifth of the
 * engines free.
 */
final class EngineQueueModel {
    private static final EngineCostModel ENGINE = ScalingSite.ENGINE;
    private static final long[] TOKENS = {5_000, 45_000, 300_000};
    private static final double[] CALLS_PER_S = {117, 7, 2};
    private static final double[] OBJECTIVE_MS = {300, 1_500, 4_000};
    private static final double[] GAP_MS = {200, 500, 800};
    private static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 11, 14, 17};
    private static final double ITERATION_MS = ENGINE.decodeIterationMs(8, 40_000);
    private static final int ITERATIONS = 5;
    static final double STEP_MS = 5;

    /** Fraction of its value that a late call loses. */
    static final double LATE_LOSS = 0.75;

    /** Cost of an engine for a second, in units of value; 0.4 of a short call. */
    static final double ENGINE_COST = 0.4 * value(0);

    /** Calls of a kind that are tried in a step after one could not be placed; bounds the time of a run in overload. */
    private static final int MAX_FAILURES = 8;

    final List<Engine> engines = new ArrayList<>();
    double offered;
    double lost;
    double arrivedPrefillMs;
    double arrivedSlotMs;

    private final List<Call> queue = new ArrayList<>();

    EngineQueueModel(int count) {
        for (int i = 0; i < count; i++) {
            engines.add(new Engine());
        }
    }

    private static final class Stream {
        private final int kind;
        private double endsMs;

        private Stream(int kind, double endsMs) {
            this.kind = kind;
            this.endsMs = endsMs;
        }
    }

    private record Call(int kind, double arrivedMs) {}

    static final class Engine {
        boolean isDown;
        private final List<Stream> streams = new ArrayList<>();
        private double prefilledAtMs;

        private double prefillMs(double now) {
            return Math.max(0, prefilledAtMs - now);
        }

        private boolean bears(double now, double prefillMs) {
            if (isDown) {
                return false;
            }
            double iterationMs = ITERATION_MS + prefillMs(now) + prefillMs;
            for (Stream stream : streams) {
                if (iterationMs > GAP_MS[stream.kind] * 0.8) {
                    return false;
                }
            }
            return true;
        }

        private void prefill(double now, double prefillMs) {
            prefilledAtMs = Math.max(prefilledAtMs, now) + prefillMs;
            for (Stream stream : streams) {
                stream.endsMs += prefillMs;
            }
        }

        private void stream(double firstEventAtMs, int kind) {
            streams.add(new Stream(kind, firstEventAtMs + ITERATIONS * ITERATION_MS));
        }
    }

    int waiting() {
        return queue.size();
    }

    /** Plays a step in which calls arrive at the given multiple of their rates. */
    void step(double now, double factor, Random random) {
        for (Engine e : engines) {
            e.streams.removeIf(s -> s.endsMs <= now);
        }
        for (int kind = 0; kind < TOKENS.length; kind++) {
            double none = StrictMath.exp(-CALLS_PER_S[kind] * factor * STEP_MS / 1_000);
            for (double p = random.nextDouble(); p > none; p *= random.nextDouble()) {
                queue.add(new Call(kind, now));
                arrivedPrefillMs += ENGINE.prefillMs(TOKENS[kind]);
                arrivedSlotMs += slotMs(kind);
            }
        }
        queue.sort(Comparator.comparingDouble(c -> c.arrivedMs + OBJECTIVE_MS[c.kind]));
        int[] failures = new int[TOKENS.length];
        for (Iterator<Call> calls = queue.iterator(); calls.hasNext(); ) {
            Call call = calls.next();
            double waitedMs = now - call.arrivedMs;
            double firstMs = failures[call.kind] > MAX_FAILURES
                    ? 0
                    : call.kind == 0 ? placeShort(now, waitedMs) : placeLong(call, now);
            if (firstMs > 0 || waitedMs > 2 * OBJECTIVE_MS[call.kind]) {
                calls.remove();
                boolean isLate = firstMs == 0 || waitedMs + firstMs > OBJECTIVE_MS[call.kind];
                offered += value(call.kind);
                lost += isLate ? LATE_LOSS * value(call.kind) : 0;
            } else {
                failures[call.kind]++;
            }
        }
    }

    private static double value(int kind) {
        return 1 + TOKENS[kind] / 13_000.0;
    }

    static double meanLoad() {
        double load = 0;
        for (int kind = 0; kind < TOKENS.length; kind++) {
            load += CALLS_PER_S[kind] * (ENGINE.prefillMs(TOKENS[kind]) + slotMs(kind) / ENGINE.slots()) / 1_000;
        }
        return load;
    }

    private static double slotMs(int kind) {
        double contextTokens = Math.min(ENGINE.kvCapacityTokens(), ENGINE.slots() * TOKENS[kind]);
        return ENGINE.prefillMs(TOKENS[kind]) + ITERATIONS * ENGINE.decodeIterationMs(8, (long) contextTokens);
    }

    /** Places a call and returns the time to its first event, or 0 if it waits. */
    private double placeShort(double now, double waitedMs) {
        double prefillMs = ENGINE.prefillMs(TOKENS[0]);
        boolean canWait = waitedMs + prefillMs + ITERATION_MS < OBJECTIVE_MS[0] * 0.85;
        for (int crowding : new int[] {5, 8}) {
            for (Engine e : engines) {
                double firstMs = e.prefillMs(now) + prefillMs + ITERATION_MS * (e.streams.isEmpty() ? 1 : 1.5);
                boolean isEarly = waitedMs + firstMs <= OBJECTIVE_MS[0] * 0.85;
                if (e.streams.size() < crowding && e.bears(now, prefillMs) && (isEarly || !canWait)) {
                    e.prefill(now, prefillMs);
                    e.stream(now + firstMs, 0);
                    return firstMs;
                }
            }
        }
        return 0;
    }

    private double placeLong(Call call, double now) {
        double objectiveMs = OBJECTIVE_MS[call.kind] - (now - call.arrivedMs);
        double best = Double.MAX_VALUE;
        List<Engine> bestParts = List.of();
        double prefillMs = ENGINE.prefillMs(TOKENS[call.kind]);
        for (int count : PART_COUNTS) {
            double partMs = prefillMs / count;
            List<Engine> able = new ArrayList<>(engines.reversed());
            able.removeIf(e -> !e.bears(now, partMs));
            able.sort(Comparator.comparingDouble(e -> e.prefillMs(now)));
            if (able.size() < count || able.subList(0, count).stream().allMatch(e -> e.streams.size() >= 8)) {
                continue;
            }
            List<Engine> parts = able.subList(0, count);
            double firstMs = parts.getLast().prefillMs(now) + partMs + ITERATION_MS;
            long left = engines.stream()
                    .filter(e -> isFree(e, now) && !parts.contains(e))
                    .count();
            if (firstMs < best) {
                best = firstMs;
                bestParts = parts;
            }
            if (firstMs <= 0.6 * OBJECTIVE_MS[call.kind] && left >= 0.2 * engines.size()) {
                return send(parts, call, now, partMs, firstMs);
            }
        }
        boolean canWait = best + 100 < objectiveMs - 0.15 * OBJECTIVE_MS[call.kind];
        return bestParts.isEmpty() || canWait
                ? 0
                : send(bestParts, call, now, ENGINE.prefillMs(TOKENS[call.kind]) / bestParts.size(), best);
    }

    private static boolean isFree(Engine e, double now) {
        return !e.isDown && e.prefillMs(now) <= 100 && e.streams.size() < 8;
    }

    private static double send(List<Engine> parts, Call call, double now, double partMs, double firstMs) {
        parts.forEach(e -> e.prefill(now, partMs));
        parts.stream().filter(e -> e.streams.size() < 8).findFirst().orElseThrow().stream(now + firstMs, call.kind);
        return firstMs;
    }
}
