package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jujuberouter.duty.DutyResult;
import org.jujuberouter.duty.DutyTerm;
import org.jujuberouter.gateway.DutyCalls;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Json;

/** Client of the platform's API for the calls of the leader. */
final class HttpDutyCalls implements DutyCalls {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Responses have no content that is used. */
    private static final int MAX_RESPONSE_BYTES = 64 << 10;

    private final InstanceId instance;
    private final JsonClient usageClient;
    private final JsonClient scaleClient;

    private HttpDutyCalls(InstanceId instance, JsonClient usageClient, JsonClient scaleClient) {
        this.instance = instance;
        this.usageClient = usageClient;
        this.scaleClient = scaleClient;
    }

    /** Returns a client; each duty has its own connection, so that a slow call of one does not delay the other. */
    static HttpDutyCalls at(EventLoop loop, InetSocketAddress address, InstanceId instance) {
        return new HttpDutyCalls(
                instance,
                JsonClient.to(loop, address, MAX_RESPONSE_BYTES),
                JsonClient.to(loop, address, MAX_RESPONSE_BYTES));
    }

    @Override
    public void reportUsage(
            DutyTerm term,
            long window,
            Map<CustomerId, Long> counts,
            BooleanSupplier maySend,
            Consumer<DutyResult> listener) {
        ObjectNode body = Json.MAPPER.createObjectNode().put("WindowId", window);
        body.set("Counts", KvValueCodec.counts(counts));
        send(usageClient, "/usage", term, body, maySend, listener);
    }

    @Override
    public void orderEngines(
            DutyTerm term,
            ServiceName service,
            FailureDomain domain,
            int count,
            BooleanSupplier maySend,
            Consumer<DutyResult> listener) {
        ObjectNode body = Json.MAPPER
                .createObjectNode()
                .put("Service", service.value())
                .put("Zone", domain.value())
                .put("DesiredCount", count);
        send(scaleClient, "/scale", term, body, maySend, listener);
    }

    private void send(
            JsonClient client,
            String path,
            DutyTerm term,
            ObjectNode body,
            BooleanSupplier maySend,
            Consumer<DutyResult> listener) {
        Map<String, String> headers = Map.of(
                PlatformHeaders.LEASE_HOLDER,
                instance.value(),
                PlatformHeaders.FENCING_TOKEN,
                Long.toString(term.token()));
        boolean[] refused = new boolean[1];
        BooleanSupplier check = () -> {
            refused[0] = !maySend.getAsBoolean();
            return !refused[0];
        };
        byte[] bytes = JsonClient.bytes(body.toString());
        client.call("POST", path, headers, bytes, CALL_TIMEOUT_MS, check, reply -> {
            listener.accept(refused[0] ? DutyResult.NOT_SENT : result(reply));
        });
    }

    private static DutyResult result(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r when r.status() == 200 -> DutyResult.ACCEPTED;
            case JsonReply.Response r when r.status() == 409 -> DutyResult.FENCED;
            case JsonReply.Response r when r.status() == 429 -> DutyResult.LIMITED;
            case JsonReply.Response _ -> DutyResult.REJECTED;
            case JsonReply.NoResponse _, JsonReply.TooLarge _ -> DutyResult.UNANSWERED;
        };
    }
}
