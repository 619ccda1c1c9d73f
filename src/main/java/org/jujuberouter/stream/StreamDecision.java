package org.jujuberouter.stream;

/** What to do with the connection that carries a response. */
public sealed interface StreamDecision {
    /**
     * Deliver the chunk without its first {@code skip} characters, which were already delivered.
     *
     * @param skip the number of characters to skip
     */
    record Deliver(int skip) implements StreamDecision {}

    /**
     * Drop the chunk and continue.
     *
     * @param reason why the chunk is dropped
     */
    record Drop(DropReason reason) implements StreamDecision {}

    /** The complete response was delivered. */
    record Complete() implements StreamDecision {}

    /**
     * Query the state of the request from the engine on a new connection and report the reply; time out after one
     * second.
     *
     * @param number to be passed back with the reply
     */
    record Probe(long number) implements StreamDecision {}

    /**
     * Close the connection and resume the same engine request on a new one.
     *
     * @param offset offset of the first missing character within the engine request
     */
    record ResumeFrom(long offset) implements StreamDecision {}

    /**
     * Abandon the endpoint and continue at another one with the prompt and the text delivered so far.
     *
     * @param textOffset the length of the text delivered so far, over all engine requests
     */
    record ContinueElsewhere(long textOffset) implements StreamDecision {}

    /**
     * The engine is alive and still processes the prompt.
     *
     * @param untilNanos when to call {@link ResponseStream#tick()} again
     */
    record WaitPrefill(long untilNanos) implements StreamDecision {}

    /**
     * No action is due.
     *
     * @param untilNanos when to call {@link ResponseStream#tick()} again
     */
    record Idle(long untilNanos) implements StreamDecision {}
}
