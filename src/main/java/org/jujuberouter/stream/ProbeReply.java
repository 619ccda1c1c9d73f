package org.jujuberouter.stream;

/** What the engine says about a request when it is asked on a new connection. */
public sealed interface ProbeReply {
    /** The engine is still reading the prompt, or the request waits for its turn there. */
    record Prefill() implements ProbeReply {}

    /**
     * The engine generates.
     *
     * @param offset how many characters it has generated
     */
    record Generating(long offset) implements ProbeReply {}

    /**
     * The engine has generated the whole answer.
     *
     * @param length its length in characters
     */
    record Ended(long length) implements ProbeReply {}

    /** The engine does not know the request, for example because it restarted. */
    record Unknown() implements ProbeReply {}

    /** No reply came within the probe's time, or the new connection failed too. */
    record NoReply() implements ProbeReply {}
}
