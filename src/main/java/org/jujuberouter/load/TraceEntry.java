package org.jujuberouter.load;

/**
 * One request of a trace.
 *
 * @param offsetMs the intended start after the start of the run
 * @param customer the customer that calls
 * @param service the plain service, or the service whose model completes
 * @param path the rest of the path of a call to a plain service, without a leading slash
 * @param kind what kind of call it is
 * @param promptTokens the length of the prompt
 * @param prefixGroup prompts of one group start with the same text; empty for a prompt of its own
 * @param answerTokens the tokens of answer asked for
 * @param deadlineMs the caller's deadline
 * @param key the idempotency key, or empty; a later entry with the same key is a resend of the same call
 * @param readerBytesPerSecond how fast the caller reads; 0 for as fast as it can
 */
public record TraceEntry(
        long offsetMs,
        String customer,
        String service,
        String path,
        RequestKind kind,
        int promptTokens,
        String prefixGroup,
        int answerTokens,
        long deadlineMs,
        String key,
        int readerBytesPerSecond) {
    /** Returns the same request at another time. */
    public TraceEntry withOffset(long newOffsetMs) {
        return new TraceEntry(
                newOffsetMs,
                customer,
                service,
                path,
                kind,
                promptTokens,
                prefixGroup,
                answerTokens,
                deadlineMs,
                key,
                readerBytesPerSecond);
    }
}
