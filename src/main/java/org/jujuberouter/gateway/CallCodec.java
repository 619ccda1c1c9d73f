package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.catalog.Call;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.RequestId;

/** How calls and answers are written on the wire. */
public interface CallCodec {
    /** Reads the head of a caller's request. */
    Call read(HttpRequest head) throws MalformedRequestException;

    /** Returns the request that an endpoint gets; the body is copied. */
    FullHttpRequest write(HttpRequest head, ByteBuf body, Attempt attempt);

    /** Reads the head of an endpoint's answer. */
    Answer read(HttpResponse head);

    /** Writes the headers of an answer of this instance. */
    void writeRefusal(HttpHeaders headers, Optional<RequestId> id, OptionalLong retryAfterMs);

    /**
     * One sending of a call to an endpoint.
     *
     * @param endpoint the endpoint, which no other may answer for
     * @param customer the customer; empty on an open route
     * @param timeLeftMs time for which an answer is still of use, in milliseconds
     * @param resumeAfter id of the last event that the caller has; empty where the stream begins
     * @param helpers endpoints that read parts of the prompt
     */
    record Attempt(
            Endpoint endpoint,
            Optional<CustomerId> customer,
            long timeLeftMs,
            String resumeAfter,
            List<Helper> helpers) {}

    /**
     * An endpoint that reads a part of the prompt.
     *
     * @param endpoint the endpoint
     * @param reservation the memory reserved there; empty where none is needed
     */
    record Helper(Endpoint endpoint, String reservation) {}

    /**
     * What the head of an answer says.
     *
     * @param status the HTTP status
     * @param id the call that it answers; empty where it is not told
     * @param vouched whether the endpoint vouches for the answer
     * @param notRun whether the endpoint did not run the call
     * @param misdirected whether another endpoint answered
     * @param coldMs how long the endpoint stays cold, where it is told
     */
    record Answer(int status, String id, boolean vouched, boolean notRun, boolean misdirected, OptionalLong coldMs) {}
}
