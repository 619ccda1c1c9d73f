package org.jujuberouter.limits;

import java.time.Duration;

/** Whether a request is within the limits. */
public sealed interface LimitDecision {
    /**
     * The request may go on.
     *
     * @param use must be ended when the request has ended in whatever way
     */
    record Admitted(LimitReservation use) implements LimitDecision {}

    /**
     * The request is refused before anything ran.
     *
     * @param limit the limit that is exceeded
     * @param retryAfter when the same request may succeed
     */
    record Refused(LimitName limit, Duration retryAfter) implements LimitDecision {}
}
