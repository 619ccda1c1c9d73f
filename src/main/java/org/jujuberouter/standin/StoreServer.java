package org.jujuberouter.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.MemoryPlatformStore;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * A stand-in for the platform store with its HTTP interface and fault injection.
 *
 * <p>Faults are set on a separate control port, which stays open while the store refuses connections.
 */
public final class StoreServer implements AutoCloseable {
    /** The largest value that the store accepts, in bytes. */
    public static final int MAX_VALUE_BYTES = 1 << 20;

    private static final long MAX_WAIT_MS = 60_000;

    private final MemoryPlatformStore store;
    private final CallCounter counter;
    private final ScheduledExecutorService delayedWrites =
            Executors.newSingleThreadScheduledExecutor(Thread.ofVirtual().factory());
    private final Object faultLock = new Object();
    private HttpServer storeServer;
    private HttpServer controlServer;
    private int port;
    private StoreFault fault = StoreFault.none();

    private StoreServer(Ticker ticker) {
        this.store = MemoryPlatformStore.create(ticker);
        this.counter = new CallCounter(ticker);
    }

    /** Starts a store on two loopback ports; 0 selects a free port. */
    public static StoreServer start(int port, int controlPort) throws IOException {
        StoreServer server = new StoreServer(Ticker.system());
        server.storeServer = StandinHttp.startServer(port, server::handleStoreCall);
        server.port = server.storeServer.getAddress().getPort();
        server.controlServer = StandinHttp.startServer(controlPort, server::handleControlCall);
        return server;
    }

    /** Starts a store on free loopback ports. */
    public static StoreServer start() throws IOException {
        return start(0, 0);
    }

    /** Returns the base address for clients of the store. */
    public URI address() {
        return URI.create("http://127.0.0.1:" + port);
    }

    /** Returns the base address of the control port, where faults are set and counts are read. */
    public URI controlAddress() {
        return URI.create(StandinHttp.baseAddress(controlServer));
    }

    /** Replaces the current fault. */
    public void inject(StoreFault newFault) throws IOException {
        synchronized (faultLock) {
            boolean wasRefusing = fault.kind() == StoreFault.Kind.REFUSE;
            boolean refuses = newFault.kind() == StoreFault.Kind.REFUSE;
            if (refuses && !wasRefusing) {
                storeServer.stop(0);
            } else if (wasRefusing && !refuses) {
                storeServer = StandinHttp.startServer(port, this::handleStoreCall);
            }
            fault = newFault;
        }
    }

    /** Returns the call counts (total, last full second, busiest second) and the number of waiting watches. */
    public Map<String, Long> counts() {
        return counter.snapshot();
    }

    @Override
    public void close() {
        synchronized (faultLock) {
            storeServer.stop(0);
            controlServer.stop(0);
        }
        delayedWrites.shutdownNow();
    }

    private void handleStoreCall(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = StandinHttp.queryParameters(exchange);
        byte[] body = exchange.getRequestBody().readNBytes(MAX_VALUE_BYTES + 1);
        boolean write = !method.equals("GET");
        if (write) {
            counter.countWrite();
        } else {
            counter.countRead();
        }
        String key = query.getOrDefault("key", query.getOrDefault("prefix", path));
        StoreFault injected = consumeFault(key, write);
        try {
            switch (injected.kind()) {
                case UNAVAILABLE -> StandinHttp.reply(exchange, 503, "the store is unavailable");
                case SLOW -> {
                    sleep(injected.delay());
                    execute(method, path, query, body).send(exchange);
                }
                // A handler that returns without an answer closes the connection.
                case LOSE_REPLY -> execute(method, path, query, body);
                case DELAY_EFFECT ->
                    delayedWrites.schedule(
                            () -> execute(method, path, query, body),
                            injected.delay().toMillis(),
                            TimeUnit.MILLISECONDS);
                case NONE, REFUSE -> execute(method, path, query, body).send(exchange);
                default -> throw new IllegalStateException(injected.toString());
            }
        } catch (PlatformException e) {
            StandinHttp.reply(exchange, 400, e.getMessage());
        }
    }

    private StoreFault consumeFault(String key, boolean write) {
        synchronized (faultLock) {
            StoreFault injected = fault;
            if (!injected.appliesTo(key, write)) {
                return StoreFault.none();
            }
            if (injected.times() > 0) {
                fault = injected.times() == 1
                        ? StoreFault.none()
                        : injected.forCalls(injected.times() - 1, injected.prefix());
            }
            return injected;
        }
    }

    private Reply execute(String method, String path, Map<String, String> query, byte[] body) throws PlatformException {
        if (body.length > MAX_VALUE_BYTES) {
            return Reply.of(413, "the value exceeds " + MAX_VALUE_BYTES + " bytes");
        }
        String lease = path.startsWith("/v1/leases/") ? path.substring("/v1/leases/".length()) : null;
        if (path.equals("/v1/key")) {
            return handleKey(method, query, body);
        } else if (path.equals("/v1/keys") && method.equals("GET")) {
            List<Map<String, Object>> rows = new ArrayList<>();
            for (StoreEntry e : store.list(query.getOrDefault("prefix", ""))) {
                rows.add(Map.of("key", e.key(), "revision", e.revision(), "value", e.value()));
            }
            return Reply.json(Map.of("entries", rows));
        } else if (path.equals("/v1/leases") && method.equals("POST")) {
            long ttl = StandinHttp.longParameter(query, "ttl-ms", 0);
            return Reply.of(200, store.grantLease(Duration.ofMillis(ttl)).value());
        } else if (lease != null && method.equals("POST")) {
            return store.renewLease(LeaseId.of(lease)) ? Reply.of(200, "") : Reply.of(404, "the lease ended");
        } else if (lease != null && method.equals("DELETE")) {
            store.revokeLease(LeaseId.of(lease));
            return Reply.of(200, "");
        }
        return Reply.of(404, "no operation " + method + " " + path);
    }

    private Reply handleKey(String method, Map<String, String> query, byte[] body) throws PlatformException {
        String key = query.get("key");
        if (key == null || key.isBlank()) {
            return Reply.of(400, "parameter \"key\" is required");
        }
        long expected = StandinHttp.longParameter(query, "expected", -1);
        if (!method.equals("GET") && expected < 0) {
            return Reply.of(400, "parameter \"expected\" is required");
        }
        return switch (method) {
            case "GET" -> query.containsKey("after") ? watch(key, query) : Reply.entry(200, store.read(key));
            case "PUT" -> {
                String lease = query.get("lease");
                yield toReply(store.compareAndSet(key, expected, body, lease == null ? null : LeaseId.of(lease)));
            }
            case "DELETE" -> toReply(store.delete(key, expected));
            default -> Reply.of(405, "method " + method + " is not allowed at /v1/key");
        };
    }

    private Reply watch(String key, Map<String, String> query) throws PlatformException {
        long waitMs = Math.min(StandinHttp.longParameter(query, "wait-ms", 0), MAX_WAIT_MS);
        counter.addWaitingWatches(1);
        try {
            Optional<StoreEntry> changed =
                    store.watch(key, StandinHttp.longParameter(query, "after", 0), Duration.ofMillis(waitMs));
            return changed.isPresent() ? Reply.entry(200, changed) : Reply.of(304, "");
        } finally {
            counter.addWaitingWatches(-1);
        }
    }

    private static Reply toReply(WriteOutcome outcome) throws PlatformException {
        return switch (outcome) {
            case WriteOutcome.Done done -> new Reply(200, done.revision(), new byte[0]);
            case WriteOutcome.Conflict conflict -> Reply.entry(409, conflict.current());
            case WriteOutcome.Unknown unknown -> throw unknown.cause();
        };
    }

    private void handleControlCall(HttpExchange exchange) throws IOException {
        String call =
                exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
        switch (call) {
            case "GET /stats" -> StandinHttp.replyJson(exchange, counts());
            case "PUT /fault" -> {
                inject(parseFault(StandinHttp.queryParameters(exchange)));
                StandinHttp.reply(exchange, 200, "");
            }
            default -> StandinHttp.reply(exchange, 404, "no operation " + call);
        }
    }

    private static StoreFault parseFault(Map<String, String> query) {
        String kind = query.getOrDefault("kind", "").toUpperCase(Locale.ROOT).replace('-', '_');
        int times = (int) StandinHttp.longParameter(query, "times", 0);
        return StoreFault.of(StoreFault.Kind.valueOf(kind))
                .withDelay(Duration.ofMillis(StandinHttp.longParameter(query, "delay-ms", 0)))
                .forCalls(times, query.getOrDefault("prefix", ""));
    }

    private static void sleep(Duration delay) {
        try {
            Thread.sleep(delay);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private record Reply(int status, long revision, byte[] body) {
        static Reply of(int status, String text) {
            return new Reply(status, 0, text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }

        static Reply json(Object value) throws PlatformException {
            try {
                return new Reply(200, 0, StandinHttp.JSON.writeValueAsBytes(value));
            } catch (IOException e) {
                throw PlatformException.unavailable("encode the answer", e);
            }
        }

        static Reply entry(int status, Optional<StoreEntry> entry) {
            return entry.map(e -> new Reply(status, e.revision(), e.value()))
                    .orElseGet(() -> of(status == 200 ? 404 : status, ""));
        }

        void send(HttpExchange exchange) throws IOException {
            if (revision > 0) {
                exchange.getResponseHeaders().set(HttpPlatformStore.REVISION_HEADER, Long.toString(revision));
            }
            StandinHttp.reply(exchange, status, body);
        }
    }
}
