package org.jujuberouter.outcome;

import java.util.OptionalInt;

/** Whether a call that runs at most once may run now. */
public sealed interface BeginResult {
    /**
     * The record is in the store; the call may be sent.
     *
     * @param attempt to be handed back when the call has ended
     */
    record Run(KeyedAttempt attempt) implements BeginResult {}

    /**
     * The call ran; its stored answer is returned again.
     *
     * @param result the answer
     */
    record Replay(StoredResult result) implements BeginResult {}

    /**
     * The call runs or ran, and its answer is not stored: 409 with may-have-run.
     *
     * @param status the status of the answer, if it is known to have ended
     */
    record Duplicate(OptionalInt status) implements BeginResult {}

    /** The key belongs to another call: 422 with not-run. */
    record KeyReused() implements BeginResult {}

    /**
     * The store did not confirm the record; nothing may be sent: 503 with not-run.
     *
     * @param reason what the store did
     */
    record Unavailable(String reason) implements BeginResult {}
}
