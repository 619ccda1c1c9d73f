package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jujuberouter.control.DutyStore;
import org.jujuberouter.duty.StoreWrite;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Json;

/** Writes the keys of the duties in transactions. */
final class KvDutyStore implements DutyStore {
    private static final long CALL_TIMEOUT_MS = 1_500;

    private final JsonClient client;
    private final LongSupplier lease;

    private KvDutyStore(JsonClient client, LongSupplier lease) {
        this.client = client;
        this.lease = lease;
    }

    /** Returns the access over the given client; the lease is that of the registration, or 0 before there is one. */
    static KvDutyStore of(JsonClient client, LongSupplier lease) {
        return new KvDutyStore(client, lease);
    }

    @Override
    public void createHolder(InstanceId instance, Consumer<StoreWrite> listener) {
        if (lease.getAsLong() == 0) {
            // Without a lease the key would outlast the instance.
            listener.accept(new StoreWrite.Conflict());
            return;
        }
        ObjectNode transaction = transaction();
        expect(transaction, StoreKeys.DUTY_HOLDER, 0);
        put(transaction, StoreKeys.DUTY_HOLDER, instance.value()).put("Lease", lease.getAsLong());
        apply(transaction, listener);
    }

    @Override
    public void deleteHolder(long revision, Consumer<StoreWrite> listener) {
        ObjectNode transaction = transaction();
        expect(transaction, StoreKeys.DUTY_HOLDER, revision);
        transaction.withArray("Delete").add(StoreKeys.DUTY_HOLDER);
        apply(transaction, listener);
    }

    @Override
    public void commitWindow(
            long holderRevision,
            long window,
            Map<CustomerId, Long> counts,
            List<Long> obsolete,
            Consumer<StoreWrite> listener) {
        ObjectNode transaction = transaction();
        String key = StoreKeys.USAGE_WINDOWS + window;
        expect(transaction, StoreKeys.DUTY_HOLDER, holderRevision);
        expect(transaction, key, 0);
        put(transaction, key, KvValueCodec.counts(counts).toString());
        ArrayNode deleted = transaction.withArray("Delete");
        obsolete.forEach(w -> deleted.add(StoreKeys.USAGE_WINDOWS + w));
        apply(transaction, listener);
    }

    private static ObjectNode transaction() {
        ObjectNode transaction = Json.MAPPER.createObjectNode();
        transaction.putArray("Expected");
        transaction.putArray("Puts");
        transaction.putArray("Delete");
        return transaction;
    }

    private static void expect(ObjectNode transaction, String key, long revision) {
        transaction.withArray("Expected").addObject().put("Key", key).put("Rev", revision);
    }

    private static ObjectNode put(ObjectNode transaction, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return transaction.withArray("Puts").addObject().put("Key", key).put("Value", encoded);
    }

    private void apply(ObjectNode transaction, Consumer<StoreWrite> listener) {
        byte[] body = JsonClient.bytes(transaction.toString());
        client.call("POST", "/v1/kv-txn", body, CALL_TIMEOUT_MS, reply -> listener.accept(outcome(reply)));
    }

    private static StoreWrite outcome(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r
            when r.status() == 200 && r.body().path("Rev").isIntegralNumber() ->
                new StoreWrite.Applied(r.body().path("Rev").asLong());
            case JsonReply.Response r when r.status() == 412 -> new StoreWrite.Conflict();
            case JsonReply.Response r -> new StoreWrite.Unknown("status " + r.status());
            case JsonReply.NoResponse n -> new StoreWrite.Unknown(n.reason());
        };
    }
}
