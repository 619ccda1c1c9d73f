package org.jujuberouter.standin.model;

/** Receives notifications from an {@link EngineModel}; an implementation may call the engine. */
public interface EngineListener {
    /** Called after the first token of an answer was generated. */
    default void firstToken(RequestStatus status) {}

    /** Called after the last token of an answer was generated. */
    default void completed(RequestStatus status) {}

    /** Called after the engine went down and lost all requests. */
    default void down(String reason) {}
}
