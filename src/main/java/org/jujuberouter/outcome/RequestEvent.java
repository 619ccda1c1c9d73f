package org.jujuberouter.outcome;

import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.id.EndpointId;

/**
 * An event in the lifecycle of a request.
 *
 * <p>Events of one attempt carry its number, {@link RequestLifecycle#attempt()} after the permit was granted, because
 * they can arrive after the next attempt has started.
 */
public sealed interface RequestEvent {
    /** The instance admitted the request. */
    record Admitted() implements RequestEvent {}

    /**
     * The request was refused before a further attempt: limits, quarantine, no capacity, or the store unavailable.
     *
     * @param kind the reason
     */
    record Refused(ErrorKind kind) implements RequestEvent {}

    /**
     * The owner of an endpoint granted a permit; a new attempt starts.
     *
     * @param endpoint the endpoint of the attempt
     */
    record PermitGranted(EndpointId endpoint) implements RequestEvent {}

    /**
     * The attempt ended before any byte was sent, for example because the connection was refused or the permit expired.
     *
     * @param attempt the attempt's number
     */
    record ConnectionRefused(int attempt) implements RequestEvent {}

    /**
     * The first byte is about to be sent. Reported before the write, which is allowed only if the decision is
     * {@link RequestDecision.Wait}: if a byte were sent unreported, a later outcome "not run" could be wrong.
     *
     * @param attempt the attempt's number
     */
    record FirstByteWritten(int attempt) implements RequestEvent {}

    /**
     * The endpoint confirmed that it did not start the request: a 503 with outcome not-run.
     *
     * @param attempt the attempt's number; may be an earlier one
     */
    record ConfirmedNotStarted(int attempt) implements RequestEvent {}

    /**
     * Headers or a further part of the response arrived.
     *
     * @param attempt the attempt's number
     * @param textOffset the length of the text so far, over all attempts; 0 for headers alone
     */
    record ResponseStarted(int attempt, long textOffset) implements RequestEvent {}

    /**
     * The response is complete.
     *
     * @param attempt the attempt's number
     */
    record Finished(int attempt) implements RequestEvent {}

    /**
     * The connection broke or stalled, and the endpoint may still be alive.
     *
     * @param attempt the attempt's number
     */
    record ConnectionLost(int attempt) implements RequestEvent {}

    /**
     * The endpoint is dead or suspected to be dead.
     *
     * @param attempt the attempt's number
     */
    record EndpointDown(int attempt) implements RequestEvent {}

    /** The deadline passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements RequestEvent {}

    /** The instance is stopping: new requests are refused, admitted ones continue. */
    record InstanceStopping() implements RequestEvent {}
}
