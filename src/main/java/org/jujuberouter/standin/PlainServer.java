package org.jujuberouter.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.misc.Json;

/**
 * A stand-in for a plain service such as the credit ledger or the filing desk.
 *
 * <p>It does not deduplicate calls: every POST is executed and counted under its idempotency key, so that a test can
 * detect duplicate executions. GET has no effect.
 *
 * <p>Paths: {@code POST /...} executes; {@code GET /executions} lists the count of each key; {@code GET /load} reports
 * the number of running calls; {@code PUT /fault} with a JSON object sets faults and the delay; any other GET returns a
 * balance.
 */
public final class PlainServer implements AutoCloseable {
    /** Header that identifies a call without an idempotency key in the execution counts. */
    private static final String REQUEST_ID = "X-Request-Id";

    private static final Set<String> CONTROL_PATHS = Set.of("/executions", "/fault", "/load");

    private final HttpServer server;
    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
    private final AtomicInteger repliesToLose = new AtomicInteger();
    private final AtomicInteger callsToRefuse = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private volatile Duration delay;

    private PlainServer(HttpServer server, Duration delay) {
        this.server = server;
        this.delay = delay;
    }

    /** Starts a service on the address; port 0 selects a free port. */
    public static PlainServer start(InetSocketAddress address, Duration delay) throws IOException {
        HttpServer http = HttpServer.create(address, 0);
        PlainServer plain = new PlainServer(http, delay);
        http.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        http.createContext("/", plain::handle);
        http.start();
        return plain;
    }

    /** Returns host and port. */
    public String address() {
        return server.getAddress().getAddress().getHostAddress() + ":"
                + server.getAddress().getPort();
    }

    /** Returns how many calls with the key were executed. */
    public int executions(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /** Closes the connections of the next calls after their execution, without an answer. */
    public void loseReplies(int count) {
        repliesToLose.set(count);
    }

    /** Rejects the next calls with status 503 and the outcome "not-run", without executing them. */
    public void refuseCalls(int count) {
        callsToRefuse.set(count);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String path = exchange.getRequestURI().getPath();
            if (CONTROL_PATHS.contains(path)) {
                control(exchange, path, body);
            } else if (exchange.getRequestMethod().equals("POST")) {
                execute(exchange, path);
            } else {
                ObjectNode answer = Json.MAPPER.createObjectNode();
                answer.put("path", path).put("balance", executions.size());
                reply(exchange, 200, answer);
            }
        }
    }

    private void control(HttpExchange exchange, String path, byte[] body) throws IOException {
        switch (path) {
            case "/executions" -> {
                ObjectNode counts = Json.MAPPER.createObjectNode();
                executions.forEach((key, count) -> counts.put(key, count.get()));
                reply(exchange, 200, counts);
            }
            case "/load" -> reply(exchange, 200, Json.MAPPER.createObjectNode().put("running", running.get()));
            default -> {
                var fault = Json.MAPPER.readTree(body);
                repliesToLose.set(fault.path("lose_replies").asInt(repliesToLose.get()));
                callsToRefuse.set(fault.path("refuse_calls").asInt(callsToRefuse.get()));
                delay = Duration.ofMillis(fault.path("delay_ms").asLong(delay.toMillis()));
                reply(exchange, 200, Json.MAPPER.createObjectNode().put("set", true));
            }
        }
    }

    private void execute(HttpExchange exchange, String path) throws IOException {
        if (consumeOne(callsToRefuse)) {
            exchange.getResponseHeaders().set(ExecutionOutcome.HEADER, ExecutionOutcome.NOT_RUN.text());
            reply(exchange, 503, Json.MAPPER.createObjectNode().put("error", "overloaded"));
            return;
        }
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        String executionKey = key != null ? key : exchange.getRequestHeaders().getFirst(REQUEST_ID);
        running.incrementAndGet();
        try {
            int count = executions
                    .computeIfAbsent(String.valueOf(executionKey), _ -> new AtomicInteger())
                    .incrementAndGet();
            Thread.sleep(delay);
            if (consumeOne(repliesToLose)) {
                throw new IOException("reply dropped by an injected fault");
            }
            ObjectNode answer = Json.MAPPER.createObjectNode();
            answer.put("path", path).put("key", executionKey).put("executions", count);
            reply(exchange, 201, answer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            running.decrementAndGet();
        }
    }

    private static boolean consumeOne(AtomicInteger count) {
        return count.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }

    private static void reply(HttpExchange exchange, int status, ObjectNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
