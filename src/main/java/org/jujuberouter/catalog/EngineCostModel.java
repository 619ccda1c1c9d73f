package org.jujuberouter.catalog;

/**
 * How an engine of a service spends its time; the figures come from the configuration.
 *
 * <p>An engine works in passes. A pass that includes writers makes {@code decodeStepsPerIteration} token steps, and each step may also read
 * up to {@code prefillChunkTokens} prompt tokens, so a long prompt lengthens the pauses of all streams beside it.
 *
 * @param slots requests that run at the same time
 * @param kvCapacityTokens tokens that the engine holds at most
 * @param decodeStepsPerIteration token steps in a pass with writers
 * @param stepMs time of a step, in milliseconds
 * @param perSequenceMs what each writing request adds to a step, in milliseconds
 * @param contextMsPerThousandTokens what a thousand tokens of context of a writing request add to a step, in milliseconds
 * @param prefillTokensPerMs prompt tokens read in a millisecond
 * @param attentionMsPerMillionPairs time for a million pairs of a prompt token and an earlier one, in milliseconds
 * @param prefillChunkTokens prompt tokens read in one step at most
 */
public record EngineCostModel(
        int slots,
        long kvCapacityTokens,
        int decodeStepsPerIteration,
        double stepMs,
        double perSequenceMs,
        double contextMsPerThousandTokens,
        double prefillTokensPerMs,
        double attentionMsPerMillionPairs,
        long prefillChunkTokens) {
    /** Returns the time that one engine needs to read a whole prompt, in milliseconds. */
    public double prefillMs(long promptTokens) {
        double pairs = (double) promptTokens * promptTokens / 2;
        return promptTokens / prefillTokensPerMs + pairs / 1e6 * attentionMsPerMillionPairs;
    }

    /** Returns the time of a pass without any reading, in milliseconds. */
    public double decodeIterationMs(int writers, long contextTokens) {
        return decodeStepsPerIteration
                * (stepMs + perSequenceMs * writers + contextMsPerThousandTokens * contextTokens / 1000);
    }
}
