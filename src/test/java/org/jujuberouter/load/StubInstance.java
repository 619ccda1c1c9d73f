package org.jujuberouter.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP server that responds like an instance in front of stand-in engines, correctly or with a selected fault. */
public final class StubInstance implements AutoCloseable {
    /** Selects whether responses are correct or which fault they have. */
    public enum Behavior {
        CORRECT,
        FOREIGN_MARKER,
        MISSING_TOKEN,
        REPEATED_TOKEN,
        UNTERMINATED,
        ERROR_EVENT,
        REJECTED,
        DUPLICATE_EXECUTION
    }

    private final HttpServer server;
    private final Map<String, String> responsesByKey = new ConcurrentHashMap<>();
    private final AtomicInteger executions = new AtomicInteger();
    private final ObjectMapper json = new ObjectMapper();
    private volatile Behavior behavior = Behavior.CORRECT;

    private StubInstance() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/v1/completions", this::handleCompletion);
        server.createContext("/services/", this::handlePlainCall);
        server.start();
    }

    public static StubInstance start() throws IOException {
        return new StubInstance();
    }

    public URI uri() {
        return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    public void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    private void handleCompletion(HttpExchange exchange) throws IOException {
        JsonNode request = json.readTree(exchange.getRequestBody());
        if (behavior == Behavior.REJECTED) {
            send(exchange, 503, "{\"error\":{\"code\":\"no_capacity\",\"outcome\":\"not-run\"}}");
            return;
        }
        String prompt = request.path("prompt").asText();
        String marker =
                behavior == Behavior.FOREIGN_MARKER ? "marker-of-another" : prompt.substring(prompt.indexOf("marker-"));
        int tokens = request.path("max_tokens").asInt();
        StringBuilder text = new StringBuilder();
        exchange.getResponseHeaders().add("Content-Type", "text/event-stream");
        boolean stream = request.path("stream").asBoolean();
        if (stream) {
            exchange.sendResponseHeaders(200, 0);
        }
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = 0; i < tokens; i++) {
                if (behavior == Behavior.MISSING_TOKEN && i == 2) {
                    continue;
                }
                String fragment = "t" + i + " " + (behavior == Behavior.REPEATED_TOKEN && i == 2 ? "t2 " : "");
                text.append(fragment);
                if (stream) {
                    writeEvent(out, "{\"choices\":[{\"text\":\"" + fragment + "\"}]}");
                }
                if (behavior == Behavior.ERROR_EVENT && i == 2) {
                    writeEvent(out, "{\"error\":{\"code\":\"endpoint_failed\",\"outcome\":\"may-have-run\"}}");
                    return;
                }
            }
            if (!stream) {
                send(exchange, 200, "{\"choices\":[{\"text\":\"" + text + "\"}],\"marker\":\"" + marker + "\"}");
            } else if (behavior != Behavior.UNTERMINATED) {
                writeEvent(
                        out,
                        "{\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}],\"marker\":\"" + marker + "\"}");
                writeEvent(out, "[DONE]");
            }
        }
    }

    private void handlePlainCall(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
        String response = key == null || behavior == Behavior.DUPLICATE_EXECUTION
                ? "{\"run\":" + executions.incrementAndGet() + "}"
                : responsesByKey.computeIfAbsent(key, k -> "{\"run\":" + executions.incrementAndGet() + "}");
        send(exchange, 200, response);
    }

    private static void writeEvent(OutputStream out, String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static void send(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
