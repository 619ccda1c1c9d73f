package org.jujuberouter.engine;

import org.jujuberouter.id.RequestId;

/** One server-sent event of an engine's stream. */
public sealed interface EngineEvent {
    /**
     * A piece of the answer.
     *
     * @param attempt the attempt that the engine says it belongs to
     * @param offset the index of the first token in the piece
     * @param tokens how many tokens the piece holds
     * @param text the text
     * @param finishReason the reason of the end, or null while the answer goes on
     */
    record Chunk(RequestId attempt, long offset, int tokens, String text, String finishReason) implements EngineEvent {}

    /** The engine has sent the whole answer. */
    record End() implements EngineEvent {}

    /**
     * The engine ended the stream with an error.
     *
     * @param message the engine's own message
     */
    record Failure(String message) implements EngineEvent {}
}
