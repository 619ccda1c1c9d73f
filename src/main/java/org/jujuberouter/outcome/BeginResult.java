package org.jujuberouter.outcome;

import java.util.OptionalInt;

/** Whether a call that must run at most once may run now. */
public sealed interface BeginResult {
    /**
     * The record is in the store; the call may be sent.
     *
     * @param attempt to be passed back when the call has ended
     */
    record Run(KeyedAttempt attempt) implements BeginResult {}

    /**
     * The call already ran; its stored response is to be returned.
     *
     * @param result the stored response
     */
    record Replay(StoredResult result) implements BeginResult {}

    /**
     * The call is running or may have run, and no response is stored: 409 with may-have-run.
     *
     * @param status the HTTP status of the response, if the call is known to have ended
     */
    record Duplicate(OptionalInt status) implements BeginResult {}

    /** The key was used for a different call: 422 with not-run. */
    record KeyReused() implements BeginResult {}

    /**
     * The store did not confirm the record, so nothing may be sent: 503 with not-run.
     *
     * @param reason why the record is not confirmed
     */
    record Unavailable(String reason) implements BeginResult {}
}
