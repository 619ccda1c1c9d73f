package org.jujuberouter.stream;

/** What to do with the connection that carries an answer. */
public sealed interface StreamDecision {
    /**
     * Deliver the chunk without its first {@code skip} characters, which were delivered before.
     *
     * @param skip how many characters to leave out
     */
    record Deliver(int skip) implements StreamDecision {}

    /**
     * Drop the chunk and go on.
     *
     * @param reason why it does not belong here, for counters
     */
    record Drop(DropReason reason) implements StreamDecision {}

    /** The whole answer was delivered. */
    record Complete() implements StreamDecision {}

    /**
     * Ask the engine on a new connection for its state and report the reply; abandon the question after a second.
     *
     * @param number to be handed back with the reply
     */
    record Probe(long number) implements StreamDecision {}

    /**
     * Abandon the connection and resume the same engine request on a new one.
     *
     * @param offset the first character that is missing, counted in the engine's request
     */
    record ResumeFrom(long offset) implements StreamDecision {}

    /**
     * Give the endpoint up and continue elsewhere with prompt and text so far.
     *
     * @param textOffset the length of the whole answer so far
     */
    record ContinueElsewhere(long textOffset) implements StreamDecision {}

    /**
     * The engine is alive and still reads the prompt.
     *
     * @param untilNanos when to ask {@link ResponseStream#tick()} again
     */
    record WaitPrefill(long untilNanos) implements StreamDecision {}

    /**
     * Nothing to do.
     *
     * @param untilNanos when to ask {@link ResponseStream#tick()} again
     */
    record Idle(long untilNanos) implements StreamDecision {}
}
