package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.control.DutyStore;
import org.jujuberouter.control.LeaseReply;
import org.jujuberouter.http.JsonClient;
import org.jujuberouter.http.JsonReply;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Json;

/** Client of the platform's key-value store over HTTP. */
public final class KvControlStore implements ControlStore {
    private static final long CALL_TIMEOUT_MS = 1_500;

    /** Timeout of a watch beyond its requested wait; the store answers within 4 ms, or 240 ms when it is slow. */
    private static final long WATCH_MARGIN_MS = 800;

    /** Time for which a crash stays in the store; instances that follow the store learn of it within a second. */
    private static final long CRASH_LEASE_MS = 60_000;

    /** Holds a page of a read, about 1 MB of values, and the changes of many seconds. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final JsonClient client;
    private final JsonClient watchClient;
    private final StoreEra era = StoreEra.unknown();
    private long lease;
    private boolean historyLost;

    private KvControlStore(JsonClient client, JsonClient watchClient) {
        this.client = client;
        this.watchClient = watchClient;
    }

    /** Returns a client of the store; watches have their own connection, so that they do not block other requests. */
    public static KvControlStore at(EventLoop loop, InetSocketAddress address) {
        return new KvControlStore(
                JsonClient.to(loop, address, MAX_RESPONSE_BYTES), JsonClient.to(loop, address, MAX_RESPONSE_BYTES));
    }

    /**
     * Reads all keys page by page; the empty prefix covers the keys of operator, endpoints and instances.
     *
     * <p>The pages may be stale, since such a read costs a tenth of a call. A watch that does not wait then adds all
     * changes since the oldest page, and its answer proves that the state is complete.
     */
    @Override
    public void read(Consumer<ControlReply> listener) {
        if (historyLost) {
            historyLost = false;
            readPage(Pages.fresh(), listener);
        } else {
            readPage(Pages.stale(), listener);
        }
    }

    /** The pages read so far; the position is that of the oldest one. */
    private static final class Pages {
        private final boolean stale;
        private final Map<String, ControlEvent> entries = new LinkedHashMap<>();
        private String lastKey = "";
        private Optional<StorePosition> oldest = Optional.empty();

        private Pages(boolean stale) {
            this.stale = stale;
        }

        private static Pages fresh() {
            return new Pages(false);
        }

        private static Pages stale() {
            return new Pages(true);
        }

        /** Returns the era of an answer if it is that of the pages; a restored store gives out revisions anew. */
        private OptionalLong accept(OptionalLong era) {
            boolean isOther =
                    era.isPresent() && oldest.isPresent() && oldest.get().era() != era.getAsLong();
            return isOther ? OptionalLong.empty() : era;
        }

        /** Notes the position of a page. */
        private void readAt(StorePosition position) {
            if (oldest.isEmpty() || oldest.get().isAfter(position)) {
                oldest = Optional.of(position);
            }
        }

        /** Adds the items of a page or changes; returns the last key. */
        private String add(JsonNode items, long era) {
            String last = lastKey;
            for (JsonNode item : items) {
                ControlEvent event = event(item, era);
                last = event.key();
                entries.merge(last, event, (a, b) -> b.position().isAfter(a.position()) ? b : a);
            }
            return last;
        }

        private List<ControlEvent> present() {
            return entries.values().stream()
                    .filter(e -> e instanceof ControlEvent.Written)
                    .toList();
        }
    }

    private void readPage(Pages pages, Consumer<ControlReply> listener) {
        String path = "/v1/kv-range?Prefix="
                + (pages.lastKey.isEmpty() ? "" : "&After=" + encode(pages.lastKey))
                + (pages.stale ? "&AllowStale=1" : "");
        client.call("GET", path, null, CALL_TIMEOUT_MS, reply -> {
            if (pages.stale && reply instanceof JsonReply.Response r && r.status() == 400) {
                // The store does not know the parameter.
                readPage(Pages.fresh(), listener);
                return;
            }
            if (!(reply instanceof JsonReply.Response r) || !isState(r)) {
                listener.accept(failure("read", reply));
                return;
            }
            OptionalLong answered = pages.accept(era.of(r));
            if (answered.isEmpty()) {
                readAgain(pages, listener);
                return;
            }
            pages.readAt(position(r, answered.getAsLong()));
            String last = pages.add(r.body().path("Items"), answered.getAsLong());
            if (r.body().path("HasMore").asBoolean() && !last.equals(pages.lastKey)) {
                pages.lastKey = last;
                readPage(pages, listener);
            } else if (pages.stale) {
                addChanges(pages, listener);
            } else {
                listener.accept(new ControlReply.Success(pages.present(), pages.oldest.orElseThrow()));
            }
        });
    }

    /** Reads the state itself in place of stale pages of different eras; a fresh read fails, to be tried again. */
    private void readAgain(Pages pages, Consumer<ControlReply> listener) {
        if (pages.stale) {
            readPage(Pages.fresh(), listener);
        } else {
            listener.accept(
                    new ControlReply.Inconclusive("read: the store was restored meanwhile, era " + era.latest()));
        }
    }

    /** Adds the changes since the oldest page. */
    private void addChanges(Pages pages, Consumer<ControlReply> listener) {
        StorePosition oldest = pages.oldest.orElseThrow();
        String path = "/v1/kv-watch?Prefix=&After=" + oldest.revision() + "&WaitMs=1";
        client.call("GET", path, null, CALL_TIMEOUT_MS, reply -> {
            if (reply instanceof JsonReply.Response r && isState(r)) {
                OptionalLong answered = pages.accept(era.of(r));
                if (answered.isEmpty()) {
                    readAgain(pages, listener);
                    return;
                }
                pages.add(r.body().path("events"), answered.getAsLong());
                listener.accept(new ControlReply.Success(pages.present(), position(r, answered.getAsLong())));
            } else if (isHistoryUnavailable(reply)) {
                readPage(Pages.fresh(), listener);
            } else {
                listener.accept(failure("read of the changes since position " + oldest, reply));
            }
        });
    }

    @Override
    public void watch(StorePosition after, long waitMs, Consumer<ControlReply> listener) {
        String path = "/v1/kv-watch?Prefix=&After=" + after.revision() + "&WaitMs=" + waitMs;
        watchClient.call("GET", path, null, waitMs + WATCH_MARGIN_MS, reply -> {
            if (reply instanceof JsonReply.Response r && isState(r)) {
                listener.accept(changes(r, after));
            } else if (isHistoryUnavailable(reply)) {
                historyLost = true;
                listener.accept(new ControlReply.Compacted());
            } else {
                listener.accept(failure("watch", reply));
            }
        });
    }

    /** Returns the changes in an answer, unless the revision from which they were asked for is of another era. */
    private ControlReply changes(JsonReply.Response response, StorePosition after) {
        OptionalLong answered = era.of(response);
        if (answered.isEmpty()) {
            return new ControlReply.Inconclusive("watch: an answer of an era before " + era.latest());
        }
        if (answered.getAsLong() != after.era()) {
            historyLost = true;
            return new ControlReply.Compacted();
        }
        List<ControlEvent> events = new ArrayList<>();
        response.body().path("events").forEach(e -> events.add(event(e, after.era())));
        return new ControlReply.Success(events, position(response, after.era()));
    }

    @Override
    public void cancelWatch() {
        watchClient.close();
    }

    @Override
    public void register(
            InstanceId instance,
            FailureDomain domain,
            InetSocketAddress peerAddress,
            long leaseMs,
            Consumer<String> listener) {
        grantLease(leaseMs, listener, granted -> {
            lease = granted;
            writeRegistration(instance, KvValueCodec.encodePeer(peerAddress, domain), listener);
        });
    }

    private void writeRegistration(InstanceId instance, byte[] registration, Consumer<String> listener) {
        KvTransaction.create()
                .put(StoreKeys.INSTANCES + instance.value(), registration, lease)
                .send(client, reply -> {
                    boolean written = reply instanceof JsonReply.Response r && r.status() == 200;
                    listener.accept(written ? null : failure("announce", reply).reason());
                });
    }

    @Override
    public void writeQuarantine(RequestTrait trait, long remainingMs, Consumer<String> listener) {
        writeOnce(StoreKeys.QUARANTINE + trait.value(), new byte[0], remainingMs, listener);
    }

    @Override
    public void writeCrash(
            EndpointId endpoint, InstanceId reporter, List<List<RequestTrait>> suspects, Consumer<String> listener) {
        String key = StoreKeys.CRASHES + endpoint.value() + "/" + reporter.value();
        writeOnce(key, KvValueCodec.encodeSuspects(suspects), CRASH_LEASE_MS, listener);
    }

    /** Writes a key under a lease of its own unless it exists. */
    private void writeOnce(String key, byte[] value, long leaseMs, Consumer<String> listener) {
        grantLease(leaseMs, listener, granted -> {
            KvTransaction.create()
                    .expect(key, KvTransaction.ABSENT)
                    .put(key, value, granted)
                    .send(client, reply -> {
                        boolean exists = reply instanceof JsonReply.Response r
                                && (r.status() == 200 || r.status() == KvTransaction.CONFLICT);
                        listener.accept(
                                exists
                                        ? null
                                        : failure("write of " + key, reply).reason());
                    });
        });
    }

    private void grantLease(long ttlMs, Consumer<String> failure, LongConsumer granted) {
        ObjectNode grant = Json.MAPPER.createObjectNode().put("TtlMs", ttlMs);
        client.call("POST", "/v1/kv-lease", bytes(grant), CALL_TIMEOUT_MS, reply -> {
            if (reply instanceof JsonReply.Response r && r.status() == 200) {
                granted.accept(r.body().path("Lease").asLong());
            } else {
                failure.accept(failure("lease", reply).reason());
            }
        });
    }

    @Override
    public void renew(Consumer<LeaseReply> listener) {
        client.call("POST", "/v1/kv-keep/" + lease, new byte[0], CALL_TIMEOUT_MS, reply -> {
            listener.accept(leaseReply(reply));
        });
    }

    /** Returns what a reply says of the lease, which is lost only if the store says so. */
    private static LeaseReply leaseReply(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r when r.status() == 200 -> LeaseReply.RENEWED;
            case JsonReply.Response r when r.status() == 404 -> LeaseReply.LOST;
            default -> LeaseReply.UNANSWERED;
        };
    }

    @Override
    public DutyStore duties() {
        return KvDutyStore.of(client, () -> lease, era);
    }

    @Override
    public void deregister(Runnable done) {
        client.call("DELETE", "/v1/kv-lease-end/" + lease, null, CALL_TIMEOUT_MS, _ -> done.run());
    }

    /** Returns whether a response states the store's revision; one that was cut short does not. */
    private static boolean isState(JsonReply.Response response) {
        return response.status() == 200 && response.body().path("At").isIntegralNumber();
    }

    /**
     * Returns whether the changes cannot be read: the store has discarded them, or they exceed the size of a response, which
     * they would do again until then. The state itself is read in pages of bounded size.
     */
    private static boolean isHistoryUnavailable(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r -> r.status() == 410;
            case JsonReply.TooLarge _ -> true;
            case JsonReply.NoResponse _ -> false;
        };
    }

    private static StorePosition position(JsonReply.Response response, long era) {
        return StorePosition.of(era, response.body().path("At").asLong());
    }

    private static ControlEvent event(JsonNode item, long era) {
        String key = item.path("Key").asText();
        StorePosition position = StorePosition.of(era, item.path("Rev").asLong());
        if (item.path("Removed").asBoolean()) {
            return new ControlEvent.Removed(key, position);
        }
        return new ControlEvent.Written(
                key,
                position,
                KvValueCodec.decode(key, position, item.path("Value").asText()));
    }

    /** Returns the failure of a request; the store states with a server error that it does not serve. */
    private static ControlReply.Failure failure(String operation, JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r
            when r.status() >= 500 -> new ControlReply.Refused(operation + ": status " + r.status());
            case JsonReply.Response r -> new ControlReply.Inconclusive(operation + ": status " + r.status());
            case JsonReply.NoResponse n -> new ControlReply.Inconclusive(operation + ": " + n.reason());
            case JsonReply.TooLarge t ->
                new ControlReply.Inconclusive(operation + ": more than " + t.limitBytes() + " bytes");
        };
    }

    private static byte[] bytes(ObjectNode body) {
        return JsonClient.bytes(body.toString());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
