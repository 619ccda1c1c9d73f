package org.jujuberouter.standin.model;

import java.util.Comparator;
import java.util.List;

/**
 * Plans one step of continuous batching with chunked prefill: each decoding sequence generates one token, and the rest
 * of the token budget is assigned to prompts by priority.
 *
 * <p>Each step is planned anew, so that a short prompt of higher priority waits at most for the step in progress and
 * not for the prefill of a long prompt. A step takes as long as the slower of prefill and decoding, because an
 * accelerator overlaps the two.
 */
final class StepPlanner {
    static final Comparator<Sequence> BY_PRIORITY =
            Comparator.comparingInt((Sequence s) -> s.request.priority()).thenComparingLong(s -> s.arrivalIndex);

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSettings settings;

    StepPlanner(EngineSettings settings) {
        this.settings = settings;
    }

    /** Assigns the prefill chunks of the next step and returns the duration of the step in nanoseconds. */
    long plan(List<Sequence> batch, boolean cold) {
        int decoding = 0;
        for (Sequence s : batch) {
            s.prefillChunk = 0;
            if (s.state == RequestState.DECODING) {
                decoding++;
            }
        }
        double usedBudget = assignPrefillChunks(batch, Math.max(1, settings.stepTokenBudget() - decoding));
        double decodeNanos = settings.stepBase().toNanos()
                + (double) decoding * settings.stepPerSequence().toNanos();
        double prefillNanos = usedBudget * NANOS_PER_SECOND / settings.prefillTokensPerSecond();
        return Math.max(1, (long) (Math.max(decodeNanos, prefillNanos) * (cold ? settings.coldFactor() : 1)));
    }

    /** Assigns prompt chunks by priority and returns the part of the budget that they use. */
    private double assignPrefillChunks(List<Sequence> batch, double budget) {
        List<Sequence> prompts = batch.stream()
                .filter(s -> s.state == RequestState.PREFILL)
                .sorted(BY_PRIORITY)
                .toList();
        double remaining = budget;
        for (Sequence s : prompts) {
            if (remaining <= 0) {
                break;
            }
            double tokenCost = 1 + (double) s.prefilled / settings.contextDoublingTokens();
            long unprocessed = s.request.promptTokens() - s.prefilled;
            s.prefillChunk = (int) Math.min(unprocessed, Math.max(1, (long) (remaining / tokenCost)));
            remaining -= s.prefillChunk * tokenCost;
        }
        return budget - Math.max(0, remaining);
    }
}
