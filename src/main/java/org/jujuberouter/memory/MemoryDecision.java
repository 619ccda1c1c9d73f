package org.jujuberouter.memory;

/** Whether a stream may read more from its engine. */
public sealed interface MemoryDecision {
    /** The bytes are reserved: read. A detached stream first resumes the engine's stream at its offset. */
    record Accept() implements MemoryDecision {}

    /**
     * Stop reading, and ask {@link StreamAccount#check()} after a wake-up or at the given time.
     *
     * @param untilNanos when the pause turns into a detachment; {@link Long#MAX_VALUE} when it already has
     */
    record Pause(long untilNanos) implements MemoryDecision {}

    /** The stream was closed by another thread; nothing is reserved. */
    record Closed() implements MemoryDecision {}

    /** Stop reading and close the engine's connection; then go on as after {@link Pause}. Returned once per pause. */
    record Detach() implements MemoryDecision {}
}
