package org.jujuberouter.outcome;

import java.util.Optional;
import java.util.Set;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.EndpointId;

/** What to do with a request after an event. */
public sealed interface RequestDecision {
    /**
     * Request a permit at another endpoint and send the request from the start; nothing was delivered yet.
     *
     * @param avoid endpoints that failed this request
     */
    record Retry(Set<EndpointId> avoid) implements RequestDecision {}

    /**
     * Request a permit at another endpoint and send the prompt with the text delivered so far as a continuation.
     *
     * @param textOffset the length of the text delivered so far
     * @param avoid endpoints that failed this request
     */
    record Continue(long textOffset, Set<EndpointId> avoid) implements RequestDecision {}

    /**
     * The request has ended. Attempts that still run are to be cancelled.
     *
     * @param outcome whether the request ran, as reported to the caller
     * @param kind the error to report, or empty if there is none
     */
    record Finish(ExecutionOutcome outcome, Optional<ErrorKind> kind) implements RequestDecision {}

    /** Continue and wait for the next event. */
    record Wait() implements RequestDecision {}

    /** The event belongs to an attempt that has ended; nothing may be sent or delivered for it. */
    record Ignore() implements RequestDecision {}
}
