package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.gateway.MemoryReservations;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.misc.Json;

/** Reserves engine memory over the HTTP interface of the engines; each request uses its own connection. */
public final class HttpMemoryReservations implements MemoryReservations {
    private static final String ORDER_PATH = "/v1/order";

    /** State of a ticket, the platform's name for a reservation, whose memory a request uses. */
    private static final String USED = "used";

    private static final int SERVER_ERROR = 500;

    private final EndpointCalls calls;

    private HttpMemoryReservations(EndpointCalls calls) {
        this.calls = calls;
    }

    /** Returns a client whose listeners run on the loop. */
    public static HttpMemoryReservations on(EventLoop loop) {
        return new HttpMemoryReservations(EndpointCalls.on(loop));
    }

    @Override
    public void reserve(Endpoint endpoint, String id, long tokens, long holdMs, Consumer<Outcome> listener) {
        ObjectNode request = Json.MAPPER.createObjectNode();
        request.put("Operation", "reserve")
                .put("Id", id)
                .put("TokenCount", tokens)
                .put("HoldMs", holdMs);
        calls.call("POST", ORDER_PATH, endpoint, JsonClient.bytes(request.toString()), reply -> {
            listener.accept(
                    switch (reply) {
                        case JsonReply.Response r when r.status() == 200 -> Outcome.GRANTED;
                        case JsonReply.Response _ -> Outcome.REFUSED;
                        case JsonReply.NoResponse _, JsonReply.TooLarge _ -> Outcome.UNKNOWN;
                    });
        });
    }

    @Override
    public void release(Endpoint endpoint, String id, Consumer<Boolean> listener) {
        ObjectNode request =
                Json.MAPPER.createObjectNode().put("Operation", "release").put("Id", id);
        calls.call("POST", ORDER_PATH, endpoint, JsonClient.bytes(request.toString()), reply -> {
            // An engine that no longer knows the reservation, or is another one, answers with a status below 500.
            listener.accept(reply instanceof JsonReply.Response r && r.status() < SERVER_ERROR);
        });
    }

    @Override
    public void queryUse(Endpoint endpoint, String id, Consumer<Use> listener) {
        calls.call("GET", EndpointCalls.REPORT_PATH, endpoint, null, reply -> {
            listener.accept(
                    switch (reply) {
                        case JsonReply.Response r when r.status() == 200 -> use(r.body(), id);
                        case JsonReply.Response _, JsonReply.NoResponse _, JsonReply.TooLarge _ -> Use.UNKNOWN;
                    });
        });
    }

    private static Use use(JsonNode report, String id) {
        for (JsonNode ticket : report.path("Tickets")) {
            if (ticket.path("Id").asText().equals(id)) {
                return ticket.path("State").asText().equals(USED) ? Use.IN_USE : Use.NOT_IN_USE;
            }
        }
        return Use.NOT_IN_USE;
    }
}
