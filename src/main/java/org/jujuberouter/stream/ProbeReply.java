package org.jujuberouter.stream;

/** State of a request that the engine reports to a probe on a new connection. */
public sealed interface ProbeReply {
    /** The engine is processing the prompt, or the request is queued there. */
    record Prefill() implements ProbeReply {}

    /**
     * The engine is generating the response.
     *
     * @param offset the number of characters generated so far
     */
    record Generating(long offset) implements ProbeReply {}

    /**
     * The engine has generated the complete response.
     *
     * @param length its length in characters
     */
    record Ended(long length) implements ProbeReply {}

    /** The engine does not know the request, for example because it restarted. */
    record Unknown() implements ProbeReply {}

    /** The probe timed out, or its connection failed. */
    record NoReply() implements ProbeReply {}
}
