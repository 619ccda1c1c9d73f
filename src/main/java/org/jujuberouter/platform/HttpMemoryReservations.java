package org.jujuberouter.platform;

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
    private static final String PATH = "/v1/order";

    /** Short, since the first event of a prompt that needs the memory is due within a few seconds. */
    private static final long TIMEOUT_MS = 400;

    private final EventLoop loop;

    private HttpMemoryReservations(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns a client whose listeners run on the loop. */
    public static HttpMemoryReservations on(EventLoop loop) {
        return new HttpMemoryReservations(loop);
    }

    @Override
    public void reserve(Endpoint at, String id, long tokens, long holdMs, Consumer<Outcome> listener) {
        ObjectNode order = Json.MAPPER.createObjectNode();
        order.put("Operation", "reserve")
                .put("Id", id)
                .put("TokenCount", tokens)
                .put("HoldMs", holdMs);
        send(at, order, listener);
    }

    @Override
    public void release(Endpoint at, String id) {
        send(at, Json.MAPPER.createObjectNode().put("Operation", "release").put("Id", id), _ -> {});
    }

    private void send(Endpoint at, ObjectNode order, Consumer<Outcome> listener) {
        JsonClient call = JsonClient.to(loop, at.address());
        call.call("POST", PATH, JsonClient.bytes(order.toString()), TIMEOUT_MS, reply -> {
            loop.execute(call::close);
            listener.accept(
                    switch (reply) {
                        case JsonReply.Response a when a.status() == 200 -> Outcome.GRANTED;
                        case JsonReply.Response _ -> Outcome.REFUSED;
                        case JsonReply.NoResponse _ -> Outcome.UNKNOWN;
                    });
        });
    }
}
