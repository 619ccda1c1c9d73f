package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** A sound store as the platform's page describes it: items, leases, transactions, watches; 4 ms an answer. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ANSWER_MS = 4;

    private record Item(String key, byte[] value, long rev, long createdAt, long lease) {}

    private final Object lock = new Object();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private Set<String> turnedAway = Set.of();
    private final ServerSocket server;
    private long revision = 1;
    private long nextLease = 100;

    Store() throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Thread.ofVirtual().start(() -> accept(server, ""));
        Thread.ofVirtual().start(this::expireLeases);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a value as the operator or an engine would; returns when the store has accepted it. */
    void put(String key, String value) {
        synchronized (lock) {
            write(key, Http.bytes(value), 0);
        }
    }

    void remove(String key) {
        synchronized (lock) {
            delete(key);
        }
    }

    int count(String prefix) {
        synchronized (lock) {
            return (int) items.keySet().stream().filter(k -> k.startsWith(prefix)).count();
        }
    }

    /** Opens another address of the store, for one instance. */
    synchronized String open(String instance) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Thread.ofVirtual().start(() -> accept(listener, instance));
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Answers the calls of these instances, also watches that wait, with 503 from now on, and serves all others. */
    void turnAway(Set<String> instances) {
        synchronized (lock) {
            turnedAway = Set.copyOf(instances);
            lock.notifyAll();
        }
    }

    private void accept(ServerSocket listener, String instance) {
        while (true) {
            try {
                Socket s = listener.accept();
                s.setTcpNoDelay(true);
                Thread.ofVirtual().start(() -> serve(s, instance));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s, String instance) {
        try (s) {
            InputStream in = Http.buffered(s.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                String length = head.field("content-length");
                byte[] body = length.isEmpty() ? new byte[0] : in.readNBytes(Integer.parseInt(length));
                ObjectNode reply = JSON.createObjectNode();
                int status = answer(instance, head, body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body), reply);
                Thread.sleep(ANSWER_MS);
                byte[] text = Http.bytes(reply.toString());
                s.getOutputStream()
                        .write(Http.bytes("HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + text.length + "\r\n\r\n"));
                s.getOutputStream().write(text);
                s.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            return;
        }
    }

    private int answer(String instance, Http.Head head, JsonNode body, ObjectNode reply) throws InterruptedException {
        String target = head.word();
        int q = target.indexOf('?');
        String path = q < 0 ? target : target.substring(0, q);
        Map<String, String> query = query(q < 0 ? "" : target.substring(q + 1));
        synchronized (lock) {
            if (turnedAway.contains(instance)) {
                return 503;
            } else if (path.equals("/v1/kv-range")) {
                return range(query, reply);
            } else if (path.equals("/v1/kv-watch")) {
                return watch(instance, query, reply);
            } else if (path.equals("/v1/kv-key")) {
                Item i = items.get(query.get("Key"));
                reply.put("At", revision);
                if (i != null) {
                    reply.setAll(json(i));
                }
                return i == null ? 404 : 200;
            } else if (path.equals("/v1/kv-txn")) {
                return transaction(body, reply);
            } else if (path.equals("/v1/kv-lease")) {
                long ttl = body.path("TtlMs").asLong();
                leases.put(++nextLease, new long[] {System.nanoTime() + ttl * 1_000_000, ttl});
                reply.put("Lease", nextLease).put("TtlMs", ttl);
                return 200;
            } else if (path.startsWith("/v1/kv-keep/")) {
                long[] lease = leases.get(Long.parseLong(path.substring(12)));
                if (lease == null) {
                    return 404;
                }
                lease[0] = System.nanoTime() + lease[1] * 1_000_000;
                reply.put("TtlMs", lease[1]);
                return 200;
            } else if (path.startsWith("/v1/kv-lease-end/")) {
                end(Long.parseLong(path.substring(17)));
                return 200;
            }
            return 404;
        }
    }

    private int range(Map<String, String> query, ObjectNode reply) {
        ArrayNode found = reply.putArray("Items");
        boolean more = false;
        for (Item i : items.tailMap(query.getOrDefault("After", ""), false).values()) {
            if (i.key.startsWith(query.getOrDefault("Prefix", ""))) {
                if (found.size() == 500) {
                    more = true;
                    break;
                }
                found.add(json(i));
            }
        }
        reply.put("HasMore", more).put("At", revision);
        return 200;
    }

    private int watch(String instance, Map<String, String> query, ObjectNode reply) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long end = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
        ArrayNode events = reply.putArray("events");
        while (true) {
            if (turnedAway.contains(instance)) {
                return 503;
            }
            for (ObjectNode e : history) {
                if (e.path("Rev").asLong() > after && e.path("Key").asText().startsWith(query.get("Prefix"))) {
                    events.add(e);
                }
            }
            long leftMs = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                reply.put("At", revision);
                return 200;
            }
            lock.wait(leftMs);
        }
    }

    private int transaction(JsonNode body, ObjectNode reply) {
        for (JsonNode row : body.path("Expected")) {
            Item i = items.get(row.path("Key").asText());
            if ((i == null ? 0 : i.rev) != row.path("Rev").asLong()) {
                reply.putArray("Items");
                return 412;
            }
        }
        for (JsonNode p : body.path("Puts")) {
            if (p.path("Lease").asLong() != 0 && !leases.containsKey(p.path("Lease").asLong())) {
                return 404;
            }
        }
        for (JsonNode p : body.path("Puts")) {
            write(
                    p.path("Key").asText(),
                    Base64.getDecoder().decode(p.path("Value").asText()),
                    p.path("Lease").asLong());
        }
        body.path("Delete").forEach(k -> delete(k.asText()));
        reply.put("Rev", revision);
        return 200;
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.createdAt, lease);
        items.put(key, item);
        history.add(json(item));
        lock.notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(JSON.createObjectNode().put("Key", key).put("Rev", revision).put("Removed", true));
            lock.notifyAll();
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = items.values().stream()
                .filter(i -> i.lease == lease)
                .map(Item::key)
                .toList();
        keys.forEach(this::delete);
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (lock) {
                long now = System.nanoTime();
                List<Long> ended = leases.entrySet().stream()
                        .filter(e -> e.getValue()[0] - now < 0)
                        .map(Map.Entry::getKey)
                        .toList();
                ended.forEach(this::end);
            }
        }
    }

    private static ObjectNode json(Item i) {
        return JSON.createObjectNode()
                .put("Key", i.key)
                .put("Value", Base64.getEncoder().encodeToString(i.value))
                .put("Rev", i.rev)
                .put("CreatedAt", i.createdAt)
                .put("Lease", i.lease);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw.split("&")) {
            int at = pair.indexOf('=');
            if (at > 0) {
                values.put(
                        pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }
}
