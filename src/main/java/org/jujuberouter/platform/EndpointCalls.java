package org.jujuberouter.platform;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.gateway.EndpointProbe;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;

/** Calls of this router's own to endpoints, each on its own connection. */
final class EndpointCalls implements EndpointProbe {
    /** The state of an engine; answered without a slot. */
    static final String REPORT_PATH = "/v1/report";

    /** Short, since the first event of a prompt that needs the memory is due within a few seconds. */
    private static final long TIMEOUT_MS = 400;

    /** Holds a report with its at most 64 reservations; a prompt asks up to 17 engines at the same time. */
    private static final int MAX_RESPONSE_BYTES = 256 << 10;

    private final EventLoop loop;

    private EndpointCalls(EventLoop loop) {
        this.loop = loop;
    }

    /** Returns a client whose listeners run on the loop. */
    static EndpointCalls on(EventLoop loop) {
        return new EndpointCalls(loop);
    }

    @Override
    public void probe(Endpoint endpoint, Consumer<Boolean> listener) {
        call(
                "GET",
                REPORT_PATH,
                endpoint,
                null,
                reply -> listener.accept(
                        reply instanceof JsonReply.Response r && r.status() != PlatformCallCodec.MISDIRECTED_REQUEST));
    }

    void call(String method, String path, Endpoint endpoint, byte[] body, Consumer<JsonReply> listener) {
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
