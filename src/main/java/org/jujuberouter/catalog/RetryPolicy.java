package org.jujuberouter.catalog;

/** What may be repeated of the calls of a route. */
public enum RetryPolicy {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** A stream of events that may be continued at another endpoint after its last complete event. */
    RESUMABLE_STREAM,
    /** A stream of events that runs at most once. */
    STREAM;

    /** Tells whether the answer is a stream of events. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }

    /** Tells whether another endpoint may take over after the first may have run the call. */
    public boolean isRetryable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
