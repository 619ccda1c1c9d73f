package org.jujuberouter.limits;

import java.time.Duration;

/** Whether a request is within the limits. */
public sealed interface LimitDecision {
    /**
     * The request is admitted.
     *
     * @param reservation to be released when the request ends, in whatever way
     */
    record Admitted(LimitReservation reservation) implements LimitDecision {}

    /**
     * The request is refused; no part of it has run.
     *
     * @param limit the limit that is exceeded
     * @param retryAfter the time after which the same request may succeed
     */
    record Refused(LimitName limit, Duration retryAfter) implements LimitDecision {}
}
