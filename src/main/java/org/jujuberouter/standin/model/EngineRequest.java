package org.jujuberouter.standin.model;

import org.jujuberouter.id.RequestId;

/**
 * A request to an emulated engine.
 *
 * @param id the request
 * @param holder who placed it; returned by {@link EngineModel#list()}
 * @param target the model, adapter and version that must be loaded; empty parts match anything
 * @param priority requests with a lower number are served first
 * @param promptTokens length of the prompt
 * @param blocks hash chain of the prompt's full blocks; shorter chains are allowed
 * @param answerTokens tokens after which the answer is complete
 * @param answerSeed determines the answer, so that a continuation elsewhere produces the same text
 * @param answerOffset tokens of the answer that the prompt already contains
 * @param poisonous whether the engine crashes when the prompt has been processed
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

    /** Returns a request for whatever model is loaded, with an answer that depends on the id. */
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

    /** Returns the same request, which crashes the engine that runs it. */
    public EngineRequest asPoisonous() {
        return new EngineRequest(
                id, holder, target, priority, promptTokens, blocks, answerTokens, answerSeed, answerOffset, true);
    }
}
