package org.jujuberouter.admission;

import java.util.Optional;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;

/** Why a permit is refused. In every case no part of the request has run at the endpoint. */
public sealed interface Refusal {
    /**
     * This instance does not own the endpoint.
     *
     * @param hint the instance that probably owns it, if known
     */
    record NotOwner(Optional<InstanceId> hint) implements Refusal {}

    /** The endpoint or its failure domain is drained by operators. */
    record Drained() implements Refusal {}

    /** The endpoint is shutting down. */
    record Leaving() implements Refusal {}

    /** The endpoint has not reported recently. */
    record NotReporting() implements Refusal {}

    /**
     * This instance may use less than one request of the bound, or the request must run alone and an earlier owner may
     * still be admitting.
     */
    record NoShare() implements Refusal {}

    /**
     * The request cannot start before its deadline.
     *
     * @param expectedWaitNanos the estimated wait; 0 if the deadline has passed
     */
    record DeadlineUnreachable(long expectedWaitNanos) implements Refusal {}

    /**
     * The request has more tokens than the endpoint accepts in one request, however idle it is.
     *
     * @param largestTokens the largest number of tokens of one request
     */
    record TooLarge(long largestTokens) implements Refusal {}

    /**
     * A request with the same fingerprint is running at the endpoint.
     *
     * @param running the id of that request
     */
    record IdenticalRunning(RequestId running) implements Refusal {}

    /**
     * Another request with a crash mark is running at the endpoint.
     *
     * @param running the id of that request, if known
     */
    record MarkedRunning(Optional<RequestId> running) implements Refusal {}

    /** The wait queue is full. */
    record QueueFull() implements Refusal {}
}
