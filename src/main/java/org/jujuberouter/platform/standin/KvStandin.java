package org.jujuberouter.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Json;

/** An in-memory stand-in for the platform's key-value store; leases are granted but never expire. */
public final class KvStandin implements AutoCloseable {
    /** How requests are answered. */
    public enum Mode {
        SERVING,
        UNAVAILABLE,
        SILENT
    }

    private static final int MAX_HISTORY = 10_000;
    private static final long CALL_TENTHS = 10;
    private static final long SILENCE_MS = 30_000;
    private static final String ERA_HEADER = "Store-Era";

    private final Object lock = new Object();
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;
    private long revision = 1;
    private long era = 1;
    private Optional<Copy> copy = Optional.empty();
    private long leases;
    private long renewals;
    private long billedTenths;
    private int pageSize = Integer.MAX_VALUE;
    private Optional<Copy> stale = Optional.empty();
    private long compactedRevision;
    private final Set<InetSocketAddress> connections = ConcurrentHashMap.newKeySet();
    private final Set<InetSocketAddress> silent = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.SERVING;

    private record Copy(TreeMap<String, ObjectNode> items, long revision, long era) {}

    private KvStandin(HttpServer server) {
        this.server = server;
    }

    /** Starts an empty store on a free loopback port. */
    public static KvStandin start() throws IOException {
        KvStandin store =
                new KvStandin(HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0));
        store.server.createContext("/", store::serve);
        store.server.setExecutor(store.executor);
        store.server.start();
        return store;
    }

    /** Returns the listen address. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Sets how requests are answered from now on. */
    public void setMode(Mode newMode) {
        mode = newMode;
        synchronized (lock) {
            lock.notifyAll();
        }
    }

    /** Answers nothing any more on the connections that are open, without closing them; new ones work. */
    public void silenceOpenConnections() {
        silent.addAll(connections);
    }

    /** Sets the number of items of a page. */
    public void setPageSize(int items) {
        synchronized (lock) {
            pageSize = items;
        }
    }

    /** Answers reads that allow a stale state from the present one from now on. */
    public void keepStale() {
        synchronized (lock) {
            stale = Optional.of(present());
        }
    }

    private Copy present() {
        return new Copy(new TreeMap<>(items), revision, era);
    }

    /** Makes the copy from which the store can be restored. */
    public void copy() {
        synchronized (lock) {
            copy = Optional.of(present());
        }
    }

    /** Goes back to the copy: what was written since is gone, revisions are given out again and a new era begins. */
    public void restore() {
        synchronized (lock) {
            Copy source = copy.orElseThrow();
            items.clear();
            items.putAll(source.items);
            revision = source.revision;
            history.removeIf(e -> e.path("Rev").asLong() > revision);
            era++;
            lock.notifyAll();
        }
    }

    /** Returns what the calls so far cost, in tenths of a call. */
    public long billedTenths() {
        synchronized (lock) {
            return billedTenths;
        }
    }

    /** Writes a value without a lease, as the operator or an endpoint would. */
    public void put(String key, String value) {
        synchronized (lock) {
            write(key, value.getBytes(StandardCharsets.UTF_8), 0);
        }
    }

    /** Deletes a key. */
    public void remove(String key) {
        synchronized (lock) {
            delete(key);
        }
    }

    /** Drops the history, so that watches from an older revision are answered with 410. */
    public void forgetHistory() {
        synchronized (lock) {
            compactedRevision = revision;
            history.clear();
            lock.notifyAll();
        }
    }

    /** Returns the keys that start with the prefix. */
    public List<String> keys(String prefix) {
        synchronized (lock) {
            return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
        }
    }

    /** Returns the number of lease renewals. */
    public long renewals() {
        synchronized (lock) {
            return renewals;
        }
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            connections.add(exchange.getRemoteAddress());
            JsonNode body = readBody(exchange);
            if (mode == Mode.SILENT) {
                Thread.sleep(SILENCE_MS);
                return;
            }
            ObjectNode reply = Json.MAPPER.createObjectNode();
            synchronized (lock) {
                exchange.getResponseHeaders().set(ERA_HEADER, Long.toString(era));
            }
            int status = mode == Mode.UNAVAILABLE ? 503 : answer(exchange, body, reply);
            if (silent.contains(exchange.getRemoteAddress())) {
                Thread.sleep(SILENCE_MS);
                return;
            }
            byte[] bytes = reply.toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static JsonNode readBody(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        return body.length == 0 ? Json.MAPPER.createObjectNode() : Json.MAPPER.readTree(body);
    }

    private int answer(HttpExchange exchange, JsonNode body, ObjectNode reply) throws InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        synchronized (lock) {
            boolean isCheap = path.startsWith("/v1/kv-keep/") || query.containsKey("AllowStale");
            billedTenths += isCheap ? 1 : CALL_TENTHS;
            return switch (path) {
                case "/v1/kv-range" -> readRange(exchange, query, reply);
                case "/v1/kv-watch" -> watch(query, reply);
                case "/v1/kv-txn" -> applyTransaction(body, reply);
                case "/v1/kv-lease" -> {
                    reply.put("Lease", ++leases).put("TtlMs", body.path("TtlMs").asLong());
                    yield 200;
                }
                default -> renewOrEndLease(path);
            };
        }
    }

    private int renewOrEndLease(String path) {
        if (path.startsWith("/v1/kv-keep/")) {
            renewals++;
            return 200;
        }
        if (!path.startsWith("/v1/kv-lease-end/")) {
            return 404;
        }
        long lease = Long.parseLong(path.substring("/v1/kv-lease-end/".length()));
        List<String> held = items.entrySet().stream()
                .filter(e -> e.getValue().path("Lease").asLong() == lease)
                .map(Map.Entry::getKey)
                .toList();
        held.forEach(this::delete);
        return 200;
    }

    private int readRange(HttpExchange exchange, Map<String, String> query, ObjectNode reply) {
        Copy source = stale.filter(_ -> query.containsKey("AllowStale")).orElse(new Copy(items, revision, era));
        exchange.getResponseHeaders().set(ERA_HEADER, Long.toString(source.era));
        ArrayNode found = reply.putArray("Items");
        boolean hasMore = false;
        for (Map.Entry<String, ObjectNode> e :
                source.items.tailMap(query.getOrDefault("After", ""), false).entrySet()) {
            if (e.getKey().startsWith(query.getOrDefault("Prefix", ""))) {
                hasMore = found.size() == pageSize;
                if (hasMore) {
                    break;
                }
                found.add(e.getValue());
            }
        }
        reply.put("HasMore", hasMore).put("At", source.revision);
        return 200;
    }

    private int watch(Map<String, String> query, ObjectNode reply) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.get("WaitMs")));
        ArrayNode events = reply.putArray("events");
        long startEra = era;
        while (true) {
            if (era != startEra) {
                return 503;
            }
            if (after < compactedRevision || after > revision) {
                return 410;
            }
            for (ObjectNode e : history) {
                if (e.path("Rev").asLong() > after && e.path("Key").asText().startsWith(query.get("Prefix"))) {
                    events.add(e);
                }
            }
            long leftMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (!events.isEmpty() || leftMs <= 0) {
                reply.put("At", revision);
                return mode == Mode.SERVING ? 200 : 503;
            }
            lock.wait(leftMs);
        }
    }

    private int applyTransaction(JsonNode body, ObjectNode reply) {
        for (JsonNode row : body.path("Expected")) {
            ObjectNode item = items.get(row.path("Key").asText());
            long current = item == null ? 0 : item.path("Rev").asLong();
            if (current != row.path("Rev").asLong()) {
                return 412;
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

    private void write(String key, byte[] value, long lease) {
        revision++;
        ObjectNode item = Json.MAPPER.createObjectNode();
        item.put("Key", key)
                .put("Value", Base64.getEncoder().encodeToString(value))
                .put("Rev", revision)
                .put("Lease", lease);
        items.put(key, item);
        appendHistory(item);
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            appendHistory(Json.MAPPER
                    .createObjectNode()
                    .put("Key", key)
                    .put("Rev", revision)
                    .put("Removed", true));
        }
    }

    private void appendHistory(ObjectNode event) {
        history.add(event);
        if (history.size() > MAX_HISTORY) {
            compactedRevision = history.removeFirst().path("Rev").asLong();
        }
        lock.notifyAll();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            values.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return values;
    }
}
