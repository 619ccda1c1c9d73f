package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.dispatch.PlacementDecision;
import org.jujuberouter.dispatch.TrackedEndpoint;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.RequestId;

/** Translates calls and responses between HTTP messages and the types of the gateway. */
public interface CallCodec {
    /** Parses the head of a caller's request. */
    RequestHead read(HttpRequest head) throws MalformedRequestException;

    /** Builds the request to send to an endpoint; it holds a reference to the body, which must not change. */
    FullHttpRequest write(HttpRequest head, ByteBuf body, Attempt attempt);

    /** Parses the head of an endpoint's response. */
    Answer read(HttpResponse head);

    /** Sets the headers of an error response that this instance generates. */
    void writeRefusal(HttpHeaders headers, Optional<RequestId> id, OptionalLong retryAfterMs);

    /**
     * One attempt to run a call at an endpoint.
     *
     * @param endpoint the endpoint; a response from any other endpoint is invalid
     * @param customer the authenticated customer; empty on a route that requires no API key
     * @param remainingMs time until the deadline of the call, in milliseconds
     * @param resumeAfter id of the last event that the caller received; empty at the start of a stream
     * @param helpers endpoints that prefill parts of the prompt
     */
    record Attempt(
            Endpoint endpoint,
            Optional<CustomerId> customer,
            long remainingMs,
            String resumeAfter,
            List<Helper> helpers) {}

    /**
     * An endpoint that prefills a part of the prompt.
     *
     * @param endpoint the endpoint
     * @param reservation id of the memory reservation at that endpoint; empty if none is needed
     */
    record Helper(Endpoint endpoint, String reservation) {
        /**
         * Returns the endpoints that prefill the parts of a placed prompt; with reserved memory, the endpoint that answers
         * is the first of them.
         */
        static List<Helper> of(PlacementDecision.Send placement, String reservation) {
            List<Helper> helpers = new ArrayList<>();
            if (!reservation.isEmpty()) {
                helpers.add(new Helper(placement.endpoint().registration(), reservation));
            }
            placement.helpers().forEach(h -> helpers.add(new Helper(h.registration(), reservation)));
            return helpers;
        }
    }

    /**
     * The parsed head of an endpoint's response.
     *
     * @param status the HTTP status
     * @param id id of the call that it answers; empty if the header is absent
     * @param signed whether the response carries the endpoint's signature
     * @param notRun whether the endpoint states that it did not run the call
     * @param promisesNotRun whether callers take the status for the promise that the call has not run and never will
     * @param misdirected whether the request reached an endpoint other than the intended one
     * @param coldMs remaining cold-start time of the endpoint; empty if not reported
     * @param leaving whether the endpoint states that it takes no new requests for the rest of its run
     * @param pauseMs time for which the endpoint wants no requests of this instance, in milliseconds
     */
    record Answer(
            int status,
            String id,
            boolean signed,
            boolean notRun,
            boolean promisesNotRun,
            boolean misdirected,
            OptionalLong coldMs,
            boolean leaving,
            long pauseMs) {
        /** Records what the endpoint states about itself. */
        void recordAt(TrackedEndpoint endpoint, long now) {
            coldMs.ifPresent(ms -> endpoint.setColdFor(ms, now));
            if (leaving) {
                endpoint.markLeaving();
            }
            endpoint.pauseFor(pauseMs, now);
        }
    }
}
