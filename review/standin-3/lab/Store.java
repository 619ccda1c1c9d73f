package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store: linearizable, with leases, watches, a bounded history, and drills. */
final class Store implements AutoCloseable {
    private static final int PAGE = 500;

    private record Item(String key, byte[] value, long rev, long createdAt, long lease) {}

    private record Event(long rev, String key, Item item) {}

    private record Copy(long atMs, TreeMap<String, Item> items, Map<Long, long[]> leases, long revision) {}

    private final Object lock = new Object();
    private final Record record;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;
    private TreeMap<String, Item> items = new TreeMap<>();
    private Map<Long, long[]> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final List<Copy> copies = new ArrayList<>();
    private long firstKnown;
    private long revision = 100;
    private long leaseIds = 1_000;
    private long era = 1;
    private boolean away;
    private boolean closed;

    Store(Record record) throws IOException {
        this.record = record;
        server = HttpServer.create(new InetSocketAddress(Site.LOOPBACK, 0), 200);
        server.createContext("/", this::serve);
        server.setExecutor(threads);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Writes as the operator; returns the time of the acknowledgement. */
    long putAsOperator(String key, String value) {
        synchronized (lock) {
            write(key, value.getBytes(StandardCharsets.UTF_8), 0);
            return record.line("operator writes %s at revision %d", key, revision);
        }
    }

    void putAsEngine(String key, String value) {
        synchronized (lock) {
            if (!away) {
                write(key, value.getBytes(StandardCharsets.UTF_8), 0);
            }
        }
    }

    /** Deletes the entry of an engine; returns the time of the acknowledgement. */
    long deleteAsEngine(String key) {
        synchronized (lock) {
            delete(key);
            return record.line("%s is removed at revision %d", key, revision);
        }
    }

    int count(String prefix) {
        synchronized (lock) {
            return (int) items.keySet().stream().filter(k -> k.startsWith(prefix)).count();
        }
    }

    long revision() {
        synchronized (lock) {
            return revision;
        }
    }

    /** A drill: away for a while, then back from a copy that is so old; what was written since is gone. */
    void drill(long awayMs, long copyAgeMs) throws InterruptedException {
        Copy copy;
        synchronized (lock) {
            away = true;
            lock.notifyAll();
            long wanted = record.nowMs() - copyAgeMs;
            copy = copies.getFirst();
            for (Copy c : copies) {
                if (c.atMs <= wanted) {
                    copy = c;
                }
            }
            record.line("drill: the store is away at revision %d", revision);
        }
        Thread.sleep(awayMs);
        synchronized (lock) {
            items = new TreeMap<>(copy.items);
            leases = new HashMap<>(copy.leases);
            long now = record.nowMs();
            leases.values().forEach(l -> l[1] = now + l[0]);
            revision = copy.revision;
            history.removeIf(e -> e.rev > revision);
            copies.removeIf(c -> c.revision > revision);
            era++;
            away = false;
            record.line("drill: the store is back in era %d at revision %d", era, revision);
        }
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(100);
                synchronized (lock) {
                    if (closed) {
                        return;
                    }
                    if (away) {
                        continue;
                    }
                    long now = record.nowMs();
                    List<Long> ended = new ArrayList<>();
                    leases.forEach((id, l) -> {
                        if (l[1] <= now) {
                            ended.add(id);
                        }
                    });
                    ended.forEach(this::endLease);
                    copies.add(new Copy(now, new TreeMap<>(items), copyOf(leases), revision));
                    copies.removeIf(c -> c.atMs < now - 20_000);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<Long, long[]> copyOf(Map<Long, long[]> leases) {
        Map<Long, long[]> copy = new HashMap<>();
        leases.forEach((id, l) -> copy.put(id, l.clone()));
        return copy;
    }

    private void endLease(long id) {
        leases.remove(id);
        items.values().stream().filter(i -> i.lease == id).map(Item::key).toList().forEach(this::delete);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.createdAt, lease);
        items.put(key, item);
        append(new Event(revision, key, item));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            append(new Event(revision, key, null));
        }
    }

    private void append(Event e) {
        history.add(e);
        if (history.size() > 5_000) {
            firstKnown = history.removeFirst().rev;
        }
        lock.notifyAll();
    }

    private void serve(HttpExchange x) throws IOException {
        try (x) {
            JsonNode body = Json.parse(x.getRequestBody().readAllBytes());
            ObjectNode reply = Json.object();
            int status = answer(x.getRequestURI().getPath(), query(x.getRequestURI().getRawQuery()), body, reply);
            byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
            x.getResponseHeaders().set("Content-Type", "application/json");
            synchronized (lock) {
                x.getResponseHeaders().set("Store-Era", Long.toString(era));
            }
            x.sendResponseHeaders(status, bytes.length);
            x.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int answer(String path, Map<String, String> q, JsonNode body, ObjectNode reply)
            throws InterruptedException {
        synchronized (lock) {
            if (away) {
                return 503;
            }
            if (path.equals("/v1/kv-range")) {
                return range(q, reply);
            } else if (path.equals("/v1/kv-watch")) {
                return watch(q, reply);
            } else if (path.equals("/v1/kv-txn")) {
                return transaction(body, reply);
            } else if (path.equals("/v1/kv-key")) {
                Item i = items.get(q.get("Key"));
                if (i == null) {
                    return 404;
                }
                fill(reply, i).put("At", revision);
                return 200;
            } else if (path.equals("/v1/kv-lease")) {
                long ttl = Math.max(1_000, body.path("TtlMs").asLong());
                leases.put(++leaseIds, new long[] {ttl, record.nowMs() + ttl});
                reply.put("Lease", leaseIds).put("TtlMs", ttl);
                return 200;
            }
            long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            if (path.startsWith("/v1/kv-keep/")) {
                long[] l = leases.get(lease);
                if (l == null) {
                    return 404;
                }
                l[1] = record.nowMs() + l[0];
                reply.put("TtlMs", l[0]);
                return 200;
            }
            endLease(lease);
            return 200;
        }
    }

    private int range(Map<String, String> q, ObjectNode reply) {
        ArrayNode found = reply.putArray("Items");
        boolean more = false;
        for (Item i : items.tailMap(q.getOrDefault("After", ""), false).values()) {
            if (i.key.startsWith(q.getOrDefault("Prefix", ""))) {
                more = found.size() == PAGE;
                if (more) {
                    break;
                }
                fill(found.addObject(), i);
            }
        }
        reply.put("HasMore", more).put("At", revision);
        return 200;
    }

    private int watch(Map<String, String> q, ObjectNode reply) throws InterruptedException {
        long after = Long.parseLong(q.get("After"));
        long end = record.nowMs() + Long.parseLong(q.get("WaitMs"));
        long startEra = era;
        ArrayNode events = reply.putArray("events");
        while (true) {
            if (away || era != startEra) {
                return 503;
            }
            if (after < firstKnown || after > revision) {
                return 410;
            }
            for (Event e : history) {
                if (e.rev > after && e.key.startsWith(q.getOrDefault("Prefix", ""))) {
                    if (e.item == null) {
                        events.addObject().put("Key", e.key).put("Rev", e.rev).put("Removed", true);
                    } else {
                        fill(events.addObject(), e.item);
                    }
                }
            }
            long left = end - record.nowMs();
            if (!events.isEmpty() || left <= 0) {
                reply.put("At", revision);
                return 200;
            }
            lock.wait(left);
        }
    }

    private int transaction(JsonNode body, ObjectNode reply) {
        ArrayNode current = Json.MAPPER.createArrayNode();
        boolean holds = true;
        for (JsonNode row : body.path("Expected")) {
            Item i = items.get(row.path("Key").asText());
            holds &= (i == null ? 0 : i.rev) == row.path("Rev").asLong();
            if (i != null) {
                fill(current.addObject(), i);
            }
        }
        if (!holds) {
            reply.set("Items", current);
            return 412;
        }
        for (JsonNode put : body.path("Puts")) {
            long lease = put.path("Lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        for (JsonNode put : body.path("Puts")) {
            write(
                    put.path("Key").asText(),
                    Base64.getDecoder().decode(put.path("Value").asText()),
                    put.path("Lease").asLong());
        }
        body.path("Delete").forEach(k -> delete(k.asText()));
        reply.put("Rev", revision);
        return 200;
    }

    private static ObjectNode fill(ObjectNode node, Item i) {
        return node.put("Key", i.key)
                .put("Value", Base64.getEncoder().encodeToString(i.value))
                .put("Rev", i.rev)
                .put("CreatedAt", i.createdAt)
                .put("Lease", i.lease);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            values.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
            away = true;
            lock.notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
    }
}
