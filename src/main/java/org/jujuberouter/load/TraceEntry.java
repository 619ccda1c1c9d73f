package org.jujuberouter.load;

/**
 * One request of a trace.
 *
 * @param offsetMs intended start, in milliseconds after the start of the run
 * @param customer customer that sends the request
 * @param service plain service, or inference service whose model is called
 * @param path path below the plain service, without a leading slash
 * @param kind kind of request
 * @param promptTokens prompt length
 * @param prefixGroup group whose prompts start with the same text; empty if the prompt shares no prefix
 * @param answerTokens number of completion tokens requested
 * @param deadlineMs deadline that the caller sends with the request
 * @param key idempotency key, or empty; a later entry with the same key is a retry of the same call
 * @param readerBytesPerSecond rate at which the caller reads the response; 0 for unlimited
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
    /** Returns a copy of this request with another start offset. */
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
