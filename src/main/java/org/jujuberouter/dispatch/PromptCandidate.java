package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A possible placement of a prompt.
 *
 * @param split how the prompt is split
 * @param engines the engines; the first one answers the call
 * @param harmToOthers value lost by other calls that would become late, including calls expected to arrive
 * @param ownCost value lost by the call itself if it would be late
 * @param firstEventMs predicted time to the first event, in milliseconds
 */
record PromptCandidate(
        PromptSplit split, List<TrackedEndpoint> engines, double harmToOthers, double ownCost, double firstEventMs) {
    /**
     * An engine with the costs of placing one part of the prompt on it.
     *
     * @param position the position in the order that all instances share; smaller is better
     */
    record RankedEngine(
            TrackedEndpoint endpoint,
            double harmToOthers,
            double ownCost,
            double firstEventMs,
            double crowding,
            boolean hasFreeSlot,
            int position) {
        static final Comparator<RankedEngine> BEST_FIRST = Comparator.comparingDouble(RankedEngine::cost)
                .thenComparingDouble(RankedEngine::crowding)
                .thenComparingInt(RankedEngine::position);

        private double cost() {
            return harmToOthers + ownCost;
        }
    }

    /** Returns the value of the calls that the placement makes late. */
    double cost() {
        return harmToOthers + ownCost;
    }

    boolean isLate() {
        return ownCost > 0;
    }

    PromptCandidate withMoreHarm(double more) {
        return new PromptCandidate(split, engines, harmToOthers + more, ownCost, firstEventMs);
    }

    /**
     * Chooses the engines of a prompt among those that can take a part of it, or returns null if they do not suffice.
     *
     * @param ranked the engines, best first
     * @param usableTokens KV cache of an engine that may be planned, in tokens
     * @param spreadWidth number of equally good engines over which calls are spread
     * @param preference selects at least one of equally good engines
     */
    static PromptCandidate choose(
            CallRequirements requirements,
            List<RankedEngine> ranked,
            PromptSplit split,
            long usableTokens,
            int spreadWidth,
            UnaryOperator<List<RankedEngine>> preference) {
        List<RankedEngine> available = ranked.stream()
                .filter(r ->
                        r.hasFreeSlot && r.endpoint.load().memoryTokens() + split.responderTokens() <= usableTokens)
                .toList();
        if (available.isEmpty() || ranked.size() < split.parts()) {
            return null;
        }
        RankedEngine best = available.getFirst();
        List<RankedEngine> equallyGood = available.stream()
                .filter(r -> r.cost() <= best.cost() && r.crowding <= best.crowding)
                .toList();
        List<RankedEngine> preferred = preference.apply(equallyGood);
        // In proportion to the preferred engines: the instances of other domains use the others.
        int width = Math.max(1, spreadWidth * preferred.size() / equallyGood.size());
        List<RankedEngine> tied = preferred.subList(0, Math.min(width, preferred.size()));
        RankedEngine first = tied.get(Math.floorMod(requirements.id().hashCode(), tied.size()));
        List<TrackedEndpoint> chosen = new ArrayList<>();
        chosen.add(first.endpoint);
        double harmToOthers = first.harmToOthers;
        double ownCost = first.ownCost;
        double firstEventMs = first.firstEventMs;
        for (int i = 0; i < ranked.size() && chosen.size() < split.parts(); i++) {
            RankedEngine r = ranked.get(i);
            if (r != first) {
                chosen.add(r.endpoint);
                harmToOthers += r.harmToOthers;
                ownCost = Math.max(ownCost, r.ownCost);
                firstEventMs = Math.max(firstEventMs, r.firstEventMs);
            }
        }
        return new PromptCandidate(split, chosen, harmToOthers, ownCost, firstEventMs);
    }
}
