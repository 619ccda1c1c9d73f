package org.jujuberouter.admission;

import java.util.Optional;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;

/** Why a permit is refused; in every case nothing of the request has run here. */
public sealed interface Refusal {
    /**
     * This instance does not admit for the endpoint.
     *
     * @param hint whom to ask, if known
     */
    record NotOwner(Optional<InstanceId> hint) implements Refusal {}

    /** Operators took the endpoint or its failure domain out of service. */
    record Drained() implements Refusal {}

    /** The endpoint is about to stop. */
    record Leaving() implements Refusal {}

    /** The endpoint has not reported recently. */
    record NotReporting() implements Refusal {}

    /** The share of an owner whose lease lapsed is less than one request. */
    record NoShare() implements Refusal {}

    /**
     * The request cannot start before its deadline.
     *
     * @param expectedWaitNanos the estimate; 0 when the deadline has passed
     */
    record DeadlineUnreachable(long expectedWaitNanos) implements Refusal {}

    /**
     * The request does not fit the endpoint at any time.
     *
     * @param largestTokens the most that one request can have here
     */
    record TooLarge(long largestTokens) implements Refusal {}

    /**
     * A request with the same fingerprint runs here.
     *
     * @param running that request
     */
    record IdenticalRunning(RequestId running) implements Refusal {}

    /**
     * Another request with a crash mark runs here, or an earlier owner might still admit one.
     *
     * @param running that request, if known
     */
    record MarkedRunning(Optional<RequestId> running) implements Refusal {}

    /** Too many requests wait already. */
    record QueueFull() implements Refusal {}
}
