package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Json;

/** Client of the platform's key-value store over HTTP. */
public final class KvControlStore implements ControlStore {
    private static final long CALL_TIMEOUT_MS = 1_500;

    /** Time-out of a watch beyond its requested wait; the store answers within 4 ms, or 240 ms when it is slow. */
    private static final long WATCH_MARGIN_MS = 800;

    private final JsonClient calls;
    private final JsonClient watches;
    private long lease;

    private KvControlStore(JsonClient calls, JsonClient watches) {
        this.calls = calls;
        this.watches = watches;
    }

    /** Returns a client of the store; watches have their own connection, so that they do not block other requests. */
    public static KvControlStore at(EventLoop loop, InetSocketAddress address) {
        return new KvControlStore(JsonClient.to(loop, address), JsonClient.to(loop, address));
    }

    @Override
    public void read(Consumer<ControlReply> listener) {
        readPage(new ArrayList<>(), "", 0, listener);
    }

    /** Reads all keys page by page; the empty prefix covers the keys of operator, endpoints and instances. */
    private void readPage(
            List<ControlEvent> events, String after, long firstRevision, Consumer<ControlReply> listener) {
        String path = "/v1/kv-range?Prefix=" + (after.isEmpty() ? "" : "&After=" + encode(after));
        calls.call("GET", path, null, CALL_TIMEOUT_MS, reply -> {
            if (!(reply instanceof JsonReply.Response a) || a.status() != 200) {
                listener.accept(failed("read", reply));
                return;
            }
            long revision = firstRevision == 0 ? a.body().path("At").asLong() : firstRevision;
            String last = after;
            for (JsonNode item : a.body().path("Items")) {
                ControlEvent event = event(item);
                events.add(event);
                last = event.key();
            }
            if (a.body().path("HasMore").asBoolean() && !last.equals(after)) {
                readPage(events, last, revision, listener);
            } else {
                listener.accept(new ControlReply.Success(events, revision));
            }
        });
    }

    @Override
    public void watch(long afterRevision, long waitMs, Consumer<ControlReply> listener) {
        String path = "/v1/kv-watch?Prefix=&After=" + afterRevision + "&WaitMs=" + waitMs;
        watches.call("GET", path, null, waitMs + WATCH_MARGIN_MS, reply -> {
            if (reply instanceof JsonReply.Response a && a.status() == 200) {
                List<ControlEvent> events = new ArrayList<>();
                a.body().path("events").forEach(e -> events.add(event(e)));
                long revision = a.body().path("At").asLong(afterRevision);
                listener.accept(new ControlReply.Success(events, revision));
            } else if (reply instanceof JsonReply.Response a && a.status() == 410) {
                listener.accept(new ControlReply.Compacted());
            } else {
                listener.accept(failed("watch", reply));
            }
        });
    }

    @Override
    public void register(InstanceId instance, InetSocketAddress peerAddress, long leaseMs, Consumer<String> listener) {
        ObjectNode grant = Json.MAPPER.createObjectNode().put("TtlMs", leaseMs);
        calls.call("POST", "/v1/kv-lease", bytes(grant), CALL_TIMEOUT_MS, reply -> {
            if (!(reply instanceof JsonReply.Response a) || a.status() != 200) {
                listener.accept(failed("lease", reply).reason());
                return;
            }
            lease = a.body().path("Lease").asLong();
            writeAnnouncement(instance, peerAddress, listener);
        });
    }

    private void writeAnnouncement(InstanceId instance, InetSocketAddress peerAddress, Consumer<String> listener) {
        ObjectNode change = Json.MAPPER.createObjectNode();
        change.putArray("Expected");
        change.putArray("Delete");
        ArrayNode puts = change.putArray("Puts");
        puts.addObject()
                .put("Key", StoreKeys.INSTANCES + instance.value())
                .put("Value", Base64.getEncoder().encodeToString(KvValueCodec.encodePeer(peerAddress)))
                .put("Lease", lease);
        calls.call("POST", "/v1/kv-txn", bytes(change), CALL_TIMEOUT_MS, reply -> {
            boolean written = reply instanceof JsonReply.Response a && a.status() == 200;
            listener.accept(written ? null : failed("announce", reply).reason());
        });
    }

    @Override
    public void renew(Consumer<Boolean> listener) {
        calls.call("POST", "/v1/kv-keep/" + lease, new byte[0], CALL_TIMEOUT_MS, reply -> {
            // The lease is lost only if the store says so; without a response it may still be held.
            listener.accept(!(reply instanceof JsonReply.Response a && a.status() == 404));
        });
    }

    @Override
    public void deregister(Runnable done) {
        calls.call("DELETE", "/v1/kv-lease-end/" + lease, null, CALL_TIMEOUT_MS, _ -> done.run());
    }

    private static ControlEvent event(JsonNode item) {
        String key = item.path("Key").asText();
        long revision = item.path("Rev").asLong();
        if (item.path("Removed").asBoolean()) {
            return new ControlEvent.Removed(key, revision);
        }
        return new ControlEvent.Written(
                key, revision, KvValueCodec.decode(key, item.path("Value").asText()));
    }

    private static ControlReply.Failed failed(String operation, JsonReply reply) {
        return new ControlReply.Failed(operation
                + switch (reply) {
                    case JsonReply.Response a -> ": status " + a.status();
                    case JsonReply.NoResponse s -> ": " + s.reason();
                });
    }

    private static byte[] bytes(ObjectNode body) {
        return JsonClient.bytes(body.toString());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
