package org.jujuberouter.outcome;

import java.util.Optional;
import java.util.Set;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.EndpointId;

/** What to do with a request after an event. */
public sealed interface RequestDecision {
    /**
     * Ask for a permit elsewhere and send the request from the start; nothing was delivered.
     *
     * @param avoid endpoints that failed this request
     */
    record Retry(Set<EndpointId> avoid) implements RequestDecision {}

    /**
     * Ask for a permit elsewhere and send prompt and text so far as a continuation.
     *
     * @param textOffset the length of the text so far
     * @param avoid endpoints that failed this request
     */
    record Continue(long textOffset, Set<EndpointId> avoid) implements RequestDecision {}

    /**
     * The request is over. Attempts that still run are to be cancelled.
     *
     * @param outcome what the caller may conclude
     * @param kind the error, or empty when there is none to report
     */
    record Finish(ExecutionOutcome outcome, Optional<ErrorKind> kind) implements RequestDecision {}

    /** Go on and wait for the next event. */
    record Wait() implements RequestDecision {}

    /** The event belongs to an attempt that is over; nothing may be written or delivered for it. */
    record Ignore() implements RequestDecision {}
}
