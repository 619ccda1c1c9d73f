package org.jujuberouter.outcome;

import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.id.EndpointId;

/**
 * Something that happened to a request.
 *
 * <p>Events of one attempt carry its number, {@link RequestLifecycle#attempt()} after the permit was granted, because they
 * can arrive after the next attempt has begun.
 */
public sealed interface RequestEvent {
    /** The instance took the request on. */
    record Admitted() implements RequestEvent {}

    /**
     * The request was refused before any further attempt: limits, quarantine, no capacity, no store.
     *
     * @param kind the reason
     */
    record Refused(ErrorKind kind) implements RequestEvent {}

    /**
     * An owner granted a permit; a new attempt begins.
     *
     * @param endpoint where the attempt goes
     */
    record PermitGranted(EndpointId endpoint) implements RequestEvent {}

    /**
     * The attempt ended before any byte of it left, for example because the connection was refused or the permit expired.
     *
     * @param attempt the attempt's number
     */
    record ConnectionRefused(int attempt) implements RequestEvent {}

    /**
     * The first byte is about to be written. Reported before the write, which is allowed only if the decision is
     * {@link RequestDecision.Wait}: a byte that left unreported would make a later "not run" wrong.
     *
     * @param attempt the attempt's number
     */
    record FirstByteWritten(int attempt) implements RequestEvent {}

    /**
     * The endpoint proved that it did not start: a 503 with outcome not-run.
     *
     * @param attempt the attempt's number; may be an earlier one
     */
    record ConfirmedNotStarted(int attempt) implements RequestEvent {}

    /**
     * More of the answer arrived.
     *
     * @param attempt the attempt's number
     * @param textOffset the length of the whole answer so far, over all attempts; 0 for headers alone
     */
    record ResponseStarted(int attempt, long textOffset) implements RequestEvent {}

    /**
     * The whole answer arrived.
     *
     * @param attempt the attempt's number
     */
    record Finished(int attempt) implements RequestEvent {}

    /**
     * The connection broke or went silent, and the endpoint may be alive.
     *
     * @param attempt the attempt's number
     */
    record ConnectionLost(int attempt) implements RequestEvent {}

    /**
     * The endpoint is dead or suspect.
     *
     * @param attempt the attempt's number
     */
    record EndpointDown(int attempt) implements RequestEvent {}

    /** The deadline passed. */
    record DeadlinePassed() implements RequestEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected() implements RequestEvent {}

    /** The instance stops: new requests are refused, admitted ones go on. */
    record InstanceStopping() implements RequestEvent {}
}
