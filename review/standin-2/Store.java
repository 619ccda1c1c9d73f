import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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

/** A stand-in for the platform's store: items, watches, transactions, and leases that expire. */
final class Store implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PAGE = 500;

    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;
    private long revision = 1;
    private long lastLease = 1000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.createContext("/", this::serve);
        server.setExecutor(executor);
        server.start();
        Thread.ofVirtual().start(this::expireLeases);
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void remove(String key) {
        delete(key);
    }

    synchronized List<String> keys() {
        return List.copyOf(items.keySet());
    }

    private void expireLeases() {
        while (true) {
            Kit.sleep(50);
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended =
                        leases.entrySet().stream().filter(e -> e.getValue()[1] - now < 0).map(Map.Entry::getKey).toList();
                ended.forEach(this::endLease);
            }
        }
    }

    private boolean endLease(long lease) {
        List<String> held = items.values().stream()
                .filter(i -> i.path("Lease").asLong() == lease)
                .map(i -> i.path("Key").asText())
                .toList();
        held.forEach(this::delete);
        return leases.remove(lease) != null;
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        ObjectNode before = items.get(key);
        ObjectNode item = JSON.createObjectNode()
                .put("Key", key)
                .put("Value", Base64.getEncoder().encodeToString(value))
                .put("Rev", revision)
                .put("CreatedAt", before == null ? revision : before.path("CreatedAt").asLong())
                .put("Lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(JSON.createObjectNode().put("Key", key).put("Rev", revision).put("Removed", true));
            notifyAll();
        }
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            ObjectNode reply = JSON.createObjectNode();
            int status = answer(exchange.getRequestURI().getPath(), query, body, reply);
            byte[] out = JSON.writeValueAsBytes(reply);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, out.length);
            exchange.getResponseBody().write(out);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized int answer(String path, Map<String, String> query, JsonNode body, ObjectNode reply)
            throws InterruptedException {
        if (path.equals("/v1/kv-key")) {
            ObjectNode item = items.get(query.get("Key"));
            if (item != null) {
                reply.setAll(item);
            }
            reply.put("At", revision);
            return item == null ? 404 : 200;
        } else if (path.equals("/v1/kv-range")) {
            ArrayNode found = reply.putArray("Items");
            boolean more = false;
            for (ObjectNode item : items.tailMap(query.getOrDefault("After", ""), false).values()) {
                if (item.path("Key").asText().startsWith(query.getOrDefault("Prefix", ""))) {
                    more = found.size() == PAGE;
                    if (more) {
                        break;
                    }
                    found.add(item);
                }
            }
            reply.put("HasMore", more).put("At", revision);
            return 200;
        } else if (path.equals("/v1/kv-watch")) {
            return watch(query, reply);
        } else if (path.equals("/v1/kv-txn")) {
            return transaction(body, reply);
        } else if (path.equals("/v1/kv-lease")) {
            long ttl = body.path("TtlMs").asLong();
            leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            reply.put("Lease", lastLease).put("TtlMs", ttl);
            return 200;
        } else if (path.startsWith("/v1/kv-keep/")) {
            long[] lease = leases.get(Long.parseLong(path.substring("/v1/kv-keep/".length())));
            if (lease == null) {
                return 404;
            }
            lease[1] = System.nanoTime() + lease[0] * 1_000_000;
            reply.put("TtlMs", lease[0]);
            return 200;
        } else if (path.startsWith("/v1/kv-lease-end/")) {
            return endLease(Long.parseLong(path.substring("/v1/kv-lease-end/".length()))) ? 200 : 404;
        }
        return 404;
    }

    private int watch(Map<String, String> query, ObjectNode reply) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
        ArrayNode events = reply.putArray("events");
        while (true) {
            for (ObjectNode e : history) {
                if (e.path("Rev").asLong() > after
                        && e.path("Key").asText().startsWith(query.getOrDefault("Prefix", ""))) {
                    events.add(e);
                }
            }
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                reply.put("At", revision);
                return 200;
            }
            wait(leftMs);
        }
    }

    private int transaction(JsonNode body, ObjectNode reply) {
        for (JsonNode row : body.path("Expected")) {
            ObjectNode item = items.get(row.path("Key").asText());
            if ((item == null ? 0 : item.path("Rev").asLong()) != row.path("Rev").asLong()) {
                reply.putArray("Items");
                return 412;
            }
        }
        for (JsonNode put : body.path("Puts")) {
            long lease = put.path("Lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            String key = put.path("Key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
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

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null || raw.isEmpty() ? new String[0] : raw.split("&")) {
            int at = pair.indexOf('=');
            values.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
