package org.jujuberouter.catalog;

/**
 * How an engine of a service spends its time; the figures come from the configuration.
 *
 * <p>An engine works in passes. A pass that includes writers makes {@code stride} token steps, and each step may also read
 * up to {@code chunkTokens} prompt tokens, so a long prompt lengthens the pauses of all streams beside it.
 *
 * @param slots requests that run at the same time
 * @param memoryTokens tokens that the engine holds at most
 * @param stride token steps in a pass with writers
 * @param stepMs time of a step, in milliseconds
 * @param perWriterMs what each writing request adds to a step, in milliseconds
 * @param contextMsPerThousand what a thousand tokens of context of a writing request add to a step, in milliseconds
 * @param readTokensPerMs prompt tokens read in a millisecond
 * @param pairsMsPerMillion time for a million pairs of a prompt token and an earlier one, in milliseconds
 * @param chunkTokens prompt tokens read in one step at most
 */
public record EngineModel(
        int slots,
        long memoryTokens,
        int stride,
        double stepMs,
        double perWriterMs,
        double contextMsPerThousand,
        double readTokensPerMs,
        double pairsMsPerMillion,
        long chunkTokens) {
    /** Returns the time that one engine needs to read a whole prompt, in milliseconds. */
    public double readMs(long promptTokens) {
        double pairs = (double) promptTokens * promptTokens / 2;
        return promptTokens / readTokensPerMs + pairs / 1e6 * pairsMsPerMillion;
    }

    /** Returns the time of a pass without any reading, in milliseconds. */
    public double writePassMs(int writers, long contextTokens) {
        return stride * (stepMs + perWriterMs * writers + contextMsPerThousand * contextTokens / 1000);
    }
}
