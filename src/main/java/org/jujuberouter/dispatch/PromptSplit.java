package org.jujuberouter.dispatch;

import org.jujuberouter.catalog.EngineCostModel;

/**
 * The resources that each engine needs for a prompt that is split into equal parts.
 *
 * @param parts number of engines that prefill a part
 * @param prefillMs time to prefill one part, in milliseconds
 * @param responderTokens KV cache needed on the engine that answers, in tokens
 * @param helperTokens KV cache needed on each helper, in tokens
 * @param reserved whether memory is reserved on each engine, because the prompt is too large for a single one
 */
record PromptSplit(int parts, double prefillMs, long responderTokens, long helperTokens, boolean reserved) {
    /** Fraction of an engine's KV cache that may be planned; an engine that runs out preempts its newest call. */
    private static final double USABLE_MEMORY_FRACTION = 0.94;

    static PromptSplit of(CallRequirements requirements, EngineCostModel engine, int parts) {
        double prefillMs = engine.prefillMs(requirements.promptTokens()) / parts;
        long tokens = requirements.promptTokens() + requirements.outputTokens();
        long tokensPerEngine = tokens / parts + 1;
        return tokens > usableTokens(engine)
                ? new PromptSplit(parts, prefillMs, tokensPerEngine, tokensPerEngine, true)
                : new PromptSplit(parts, prefillMs, tokens, 0, false);
    }

    /** Returns the split over the smallest number of engines whose memory holds the call, or over the largest number. */
    static PromptSplit fewest(CallRequirements requirements, EngineCostModel engine) {
        PromptSplit split = null;
        for (int parts : CallScheduler.PART_COUNTS) {
            split = of(requirements, engine, parts);
            if (split.minTokens() <= usableTokens(engine)) {
                break;
            }
        }
        return split;
    }

    /** Returns the KV cache that an engine needs at least to take a part, in tokens. */
    long minTokens() {
        return parts == 1 ? responderTokens : helperTokens;
    }

    /** Returns the KV cache of an engine that may be planned, in tokens. */
    static long usableTokens(EngineCostModel engine) {
        return (long) (engine.kvCapacityTokens() * USABLE_MEMORY_FRACTION);
    }
}
