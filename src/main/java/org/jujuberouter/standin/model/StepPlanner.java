package org.jujuberouter.standin.model;

import java.util.Comparator;
import java.util.List;

/**
 * Plans one step: each answer in the batch gets a token, and the prompts share the token budget by priority.
 *
 * <p>Since the plan is made anew for each step, a short prompt that arrives waits at most for the step in progress and not
 * for the prefill of a long prompt. A step lasts as long as the slower of its two parts, which an accelerator overlaps.
 */
final class StepPlanner {
    static final Comparator<Sequence> BY_PRIORITY =
            Comparator.comparingInt((Sequence s) -> s.request.priority()).thenComparingLong(s -> s.order);

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSettings settings;

    StepPlanner(EngineSettings settings) {
        this.settings = settings;
    }

    /** Assigns the chunks of the next step and returns its duration in nanoseconds. */
    long plan(List<Sequence> batch, boolean cold) {
        int answers = 0;
        for (Sequence s : batch) {
            s.chunk = 0;
            if (s.state == RequestState.DECODING) {
                answers++;
            }
        }
        double spent = spendBudget(batch, Math.max(1, settings.stepTokenBudget() - answers));
        double decode = settings.stepBase().toNanos()
                + (double) answers * settings.stepPerSequence().toNanos();
        double prefill = spent * NANOS_PER_SECOND / settings.prefillTokensPerSecond();
        return Math.max(1, (long) (Math.max(decode, prefill) * (cold ? settings.coldFactor() : 1)));
    }

    private double spendBudget(List<Sequence> batch, double budget) {
        List<Sequence> prompts = batch.stream()
                .filter(s -> s.state == RequestState.PREFILL)
                .sorted(BY_PRIORITY)
                .toList();
        double left = budget;
        for (Sequence s : prompts) {
            if (left <= 0) {
                break;
            }
            double tokenCost = 1 + (double) s.prefilled / settings.contextDoublingTokens();
            long wanted = s.request.promptTokens() - s.prefilled;
            s.chunk = (int) Math.min(wanted, Math.max(1, (long) (left / tokenCost)));
            left -= s.chunk * tokenCost;
        }
        return budget - Math.max(0, left);
    }
}
