package org.jujuberouter.standin.model;

import org.jujuberouter.id.RequestId;

/**
 * A request to an emulated engine.
 *
 * @param id the request
 * @param holder identifies the submitter; returned by {@link EngineModel#list()}
 * @param target the model, adapter and version that must be loaded; empty components match any
 * @param priority a request with a lower number is scheduled first
 * @param promptTokens number of tokens of the prompt
 * @param blocks hash chain of the full blocks of the prompt; may cover only a prefix of them
 * @param answerTokens number of tokens of the answer
 * @param answerSeed determines the text of the answer, so that a continuation on another engine is the same
 * @param answerOffset number of answer tokens that the prompt already contains
 * @param poisonous whether the engine crashes at the end of the prefill
 */
public record EngineRequest(
        RequestId id,
        String holder,
        LoadedModel target,
        int priority,
        long promptTokens,
        long[] blocks,
        int answerTokens,
        long answerSeed,
        int answerOffset,
        boolean poisonous) {

    /** Returns a request for any model, with an answer that depends on the id. */
    public static EngineRequest of(RequestId id, int priority, long promptTokens, long[] blocks, int answerTokens) {
        return new EngineRequest(
                id, "", LoadedModel.any(), priority, promptTokens, blocks, answerTokens, id.hashCode(), 0, false);
    }

    /** Returns the same request with the given holder. */
    public EngineRequest heldBy(String newHolder) {
        return new EngineRequest(
                id,
                newHolder,
                target,
                priority,
                promptTokens,
                blocks,
                answerTokens,
                answerSeed,
                answerOffset,
                poisonous);
    }

    /** Returns the same request as one that crashes the engine that runs it. */
    public EngineRequest asPoisonous() {
        return new EngineRequest(
                id, holder, target, priority, promptTokens, blocks, answerTokens, answerSeed, answerOffset, true);
    }
}
