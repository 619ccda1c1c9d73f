package org.jujuberouter.memory;

/** Whether a stream may read more bytes from its engine. */
public sealed interface MemoryDecision {
    /** The bytes are reserved; read them. A detached stream first resumes the engine's stream at its offset. */
    record Accept() implements MemoryDecision {}

    /**
     * Stop reading, and call {@link StreamAccount#check()} after a wake-up or at the given time.
     *
     * @param untilNanos when the stream is to be detached; {@link Long#MAX_VALUE} if it already is
     */
    record Pause(long untilNanos) implements MemoryDecision {}

    /** The stream was closed by another thread; nothing is reserved. */
    record Closed() implements MemoryDecision {}

    /**
     * Stop reading and close the connection to the engine; then continue as after {@link Pause}. Returned once per
     * pause.
     */
    record Detach() implements MemoryDecision {}
}
