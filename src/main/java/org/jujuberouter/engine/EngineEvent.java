package org.jujuberouter.engine;

import org.jujuberouter.id.RequestId;

/** A server-sent event in the response stream of an engine. */
public sealed interface EngineEvent {
    /**
     * A chunk of the response.
     *
     * @param attempt the attempt that the chunk belongs to according to the engine
     * @param offset the position of the chunk in the response text of the attempt, in characters
     * @param tokens the number of tokens in the chunk
     * @param text the text of the chunk
     * @param finishReason the finish reason, or null if more chunks follow
     */
    record Chunk(RequestId attempt, long offset, int tokens, String text, String finishReason) implements EngineEvent {}

    /** The final event of a complete response. */
    record End() implements EngineEvent {}

    /**
     * The engine ended the stream with an error.
     *
     * @param message the error message from the engine
     */
    record Failure(String message) implements EngineEvent {}
}
