package org.jujuberouter.catalog;

/** Whether the calls of a route may be retried, and whether their answers are streams. */
public enum RetryPolicy {
    /** The call may run more than once. */
    IDEMPOTENT,
    /** The call must run at most once. */
    NON_IDEMPOTENT,
    /** An event stream that another endpoint can resume after the last complete event. */
    RESUMABLE_STREAM,
    /** An event stream whose call must run at most once. */
    STREAM;

    /** Returns whether the answer is an event stream. */
    public boolean isStream() {
        return this == RESUMABLE_STREAM || this == STREAM;
    }

    /** Returns whether the call may be sent to another endpoint after the first one may have run it. */
    public boolean isRetryable() {
        return this == IDEMPOTENT || this == RESUMABLE_STREAM;
    }
}
