package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.function.Consumer;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.misc.Json;

/** A transaction of the platform's store, which applies all of its writes or none. */
final class KvTransaction {
    /** Lease of a key that does not expire. */
    static final long NO_LEASE = 0;

    /** Revision of a key that does not exist. */
    static final long ABSENT = 0;

    /** Status of a transaction whose expectations do not hold. */
    static final int CONFLICT = 412;

    private static final long TIMEOUT_MS = 1_500;

    private final ObjectNode body = Json.MAPPER.createObjectNode();
    private final ArrayNode expected = body.putArray("Expected");
    private final ArrayNode puts = body.putArray("Puts");
    private final ArrayNode deleted = body.putArray("Delete");

    private KvTransaction() {}

    static KvTransaction create() {
        return new KvTransaction();
    }

    /** Applies the transaction only if the key has the revision. */
    KvTransaction expect(String key, long revision) {
        expected.addObject().put("Key", key).put("Rev", revision);
        return this;
    }

    /** Writes a key, which is removed with the lease. */
    KvTransaction put(String key, byte[] value, long lease) {
        ObjectNode put = puts.addObject().put("Key", key);
        put.put("Value", Base64.getEncoder().encodeToString(value));
        if (lease != NO_LEASE) {
            put.put("Lease", lease);
        }
        return this;
    }

    KvTransaction delete(String key) {
        deleted.add(key);
        return this;
    }

    void send(JsonClient client, Consumer<JsonReply> listener) {
        client.call("POST", "/v1/kv-txn", JsonClient.bytes(body.toString()), TIMEOUT_MS, listener);
    }
}
