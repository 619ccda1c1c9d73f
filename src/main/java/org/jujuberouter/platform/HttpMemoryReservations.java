package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.gateway.MemoryReservations;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.misc.Json;

/** Reserves engine memory over the HTTP interface of the engines; each request uses its own connection. */
public final class HttpMemoryReservations implements MemoryReservations {
    private static final String ORDER_PATH = "/v1/order";
    private static final String REPORT_PATH = "/v1/report";

    /** State of a ticket, the platform's name for a reservation, whose memory a request uses. */
    private static final String USED = "used";

    private static final int SERVER_ERROR = 500;

    /** Short, since the first event of a prompt that needs the memory is due within a few seconds. */
    private static final long TIMEOUT_MS = 400;

    /** Holds a report with its at most 64 reservations; a prompt asks up to 17 engines at the same time. */
    private static final int MAX_RESPONSE_BYTES = 256 << 10;

    private final EventLoop loop;

    private HttpMemoryReservations(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns a client whose listeners run on the loop. */
    public static HttpMemoryReservations on(EventLoop loop) {
        return new HttpMemoryReservations(loop);
    }

    @Override
    public void reserve(Endpoint endpoint, String id, long tokens, long holdMs, Consumer<Outcome> listener) {
        ObjectNode request = Json.MAPPER.createObjectNode();
        request.put("Operation", "reserve")
                .put("Id", id)
                .put("TokenCount", tokens)
                .put("HoldMs", holdMs);
        call("POST", ORDER_PATH, endpoint, JsonClient.bytes(request.toString()), reply -> {
            listener.accept(
                    switch (reply) {
                        case JsonReply.Response r when r.status() == 200 -> Outcome.GRANTED;
                        case JsonReply.Response _ -> Outcome.REFUSED;
                        case JsonReply.NoResponse _ -> Outcome.UNKNOWN;
                    });
        });
    }

    @Override
    public void release(Endpoint endpoint, String id, Consumer<Boolean> listener) {
        ObjectNode request =
                Json.MAPPER.createObjectNode().put("Operation", "release").put("Id", id);
        call("POST", ORDER_PATH, endpoint, JsonClient.bytes(request.toString()), reply -> {
            // An engine that no longer knows the reservation, or is another one, answers with a status below 500.
            listener.accept(reply instanceof JsonReply.Response r && r.status() < SERVER_ERROR);
        });
    }

    @Override
    public void queryUse(Endpoint endpoint, String id, Consumer<Use> listener) {
        call("GET", REPORT_PATH, endpoint, null, reply -> {
            listener.accept(
                    switch (reply) {
                        case JsonReply.Response r when r.status() == 200 -> use(r.body(), id);
                        case JsonReply.Response _, JsonReply.NoResponse _ -> Use.UNKNOWN;
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

    private void call(String method, String path, Endpoint endpoint, byte[] body, Consumer<JsonReply> listener) {
        JsonClient client = JsonClient.to(loop, endpoint.address(), MAX_RESPONSE_BYTES);
        // The address may belong to another engine by now, which refuses the call.
        Map<String, String> headers =
                Map.of(PlatformHeaders.EXPECTED_ENDPOINT, endpoint.id().value());
        client.call(method, path, headers, body, TIMEOUT_MS, reply -> {
            loop.execute(client::close);
            listener.accept(reply);
        });
    }
}
