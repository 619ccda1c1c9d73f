package org.jujuberouter.standin.model;

/** Hears of changes in an engine; it may call the engine. */
public interface EngineListener {
    /** The first token of an answer exists. */
    default void firstToken(RequestStatus status) {}

    /** An answer is complete. */
    default void completed(RequestStatus status) {}

    /** The engine went down and lost all requests. */
    default void down(String reason) {}
}
