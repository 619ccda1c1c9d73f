package org.jujuberouter.catalog;

/**
 * A cost model of the inference engines of a service, with parameters from the configuration.
 *
 * <p>An engine works in iterations. An iteration with decoding sequences makes {@code decodeStepsPerIteration} token
 * steps, and each step may also prefill up to {@code prefillChunkTokens} prompt tokens. A long prompt therefore
 * lengthens the gaps between the tokens of all streams on the same engine.
 *
 * @param slots maximum number of concurrent requests
 * @param kvCapacityTokens capacity of the KV cache, in tokens
 * @param decodeStepsPerIteration token steps in an iteration with decoding sequences
 * @param stepMs base time of a step, in milliseconds
 * @param perSequenceMs time that each decoding sequence adds to a step, in milliseconds
 * @param contextMsPerThousandTokens time that 1,000 tokens of context of a decoding sequence add to a step, in
 *     milliseconds
 * @param prefillTokensPerMs prompt tokens prefilled in a millisecond
 * @param attentionMsPerMillionPairs attention time for a million pairs of a prompt token and an earlier one, in
 *     milliseconds
 * @param prefillChunkTokens maximum number of prompt tokens prefilled in a step
 * @param network the network between the failure domains in which the engines run
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
        long prefillChunkTokens,
        DomainNetwork network) {
    /** Creates a cost model of engines between whose domains no delays are known. */
    public EngineCostModel(
            int slots,
            long kvCapacityTokens,
            int decodeStepsPerIteration,
            double stepMs,
            double perSequenceMs,
            double contextMsPerThousandTokens,
            double prefillTokensPerMs,
            double attentionMsPerMillionPairs,
            long prefillChunkTokens) {
        this(
                slots,
                kvCapacityTokens,
                decodeStepsPerIteration,
                stepMs,
                perSequenceMs,
                contextMsPerThousandTokens,
                prefillTokensPerMs,
                attentionMsPerMillionPairs,
                prefillChunkTokens,
                DomainNetwork.unknown());
    }

    /** Returns the time that a single engine needs to prefill a prompt, in milliseconds. */
    public double prefillMs(long promptTokens) {
        double pairs = (double) promptTokens * promptTokens / 2;
        return promptTokens / prefillTokensPerMs + pairs / 1e6 * attentionMsPerMillionPairs;
    }

    /** Returns the length of a prompt from the time that a single engine needs to prefill it. */
    public long promptTokens(double prefillMs) {
        double perToken = 1 / prefillTokensPerMs;
        double perPair = attentionMsPerMillionPairs / 2e6;
        return Math.round(2 * prefillMs / (perToken + Math.sqrt(perToken * perToken + 4 * perPair * prefillMs)));
    }

    /** Returns the time of an iteration without prefill, in milliseconds. */
    public double decodeIterationMs(int sequences, long contextTokens) {
        return decodeStepsPerIteration
                * (stepMs + perSequenceMs * sequences + contextMsPerThousandTokens * contextTokens / 1000);
    }
}
