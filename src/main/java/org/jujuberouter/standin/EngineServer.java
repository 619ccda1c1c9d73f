package org.jujuberouter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Json;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.standin.model.CacheEvent;
import org.jujuberouter.standin.model.EngineListener;
import org.jujuberouter.standin.model.EngineModel;
import org.jujuberouter.standin.model.EngineModelException;
import org.jujuberouter.standin.model.EngineOrder;
import org.jujuberouter.standin.model.EngineRole;
import org.jujuberouter.standin.model.EngineSettings;
import org.jujuberouter.standin.model.KvSnapshot;
import org.jujuberouter.standin.model.LoadReport;
import org.jujuberouter.standin.model.LoadedModel;
import org.jujuberouter.standin.model.OrderReply;
import org.jujuberouter.standin.model.RequestState;
import org.jujuberouter.standin.model.RequestStatus;
import org.jujuberouter.standin.model.StreamPart;

/**
 * A stand-in for a model engine: an {@link EngineModel} in real time behind the HTTP interface of engines.
 *
 * <p>A crash closes the listening port and all connections, like the crash of a process; after a restart delay the
 * engine is up again, cold and with a higher boot number. Faults are set with {@code PUT /fault?kind=...}:
 * {@code crash}, {@code cold}, {@code leaving}, {@code silent} (open streams stay open but send no more events) and
 * {@code none}.
 */
public final class EngineServer implements AutoCloseable {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(3);
    private static final String STREAM_SUFFIX = "/stream";

    private final EngineModel model;
    private final EngineSettings settings;
    private final Duration restartDelay;
    private final Map<RequestId, KvSnapshot> exports = new ConcurrentHashMap<>();
    private final Map<RequestId, ServedRequest> requests = new ConcurrentHashMap<>();
    private HttpServer http;
    private int port;
    private long boot = 1;
    private volatile boolean leaving;
    private volatile long silencedAtNanos;
    private volatile boolean closed;

    private EngineServer(EngineSettings settings, LoadedModel loaded, Duration restartDelay, boolean cold) {
        this.settings = settings;
        this.restartDelay = restartDelay;
        EngineListener listener = new EngineListener() {
            @Override
            public void down(String reason) {
                Thread.ofVirtual().start(EngineServer.this::restartAfterDelay);
            }
        };
        this.model = cold
                ? EngineModel.cold(settings, Ticker.system(), loaded, listener)
                : EngineModel.warm(settings, Ticker.system(), loaded, listener);
    }

    /** Starts an engine on a loopback port; 0 selects a free port. */
    public static EngineServer start(
            int port, EngineSettings settings, LoadedModel loaded, Duration restartDelay, boolean cold)
            throws IOException {
        EngineServer server = new EngineServer(settings, loaded, restartDelay, cold);
        server.http = StandinHttp.startServer(port, server::handle);
        server.port = server.http.getAddress().getPort();
        return server;
    }

    /** Returns host and port. */
    public String address() {
        return "127.0.0.1:" + port;
    }

    /** Returns the emulated engine. */
    public EngineModel model() {
        return model;
    }

    /** Stops sending on all open streams without closing them. */
    public void silenceOpenStreams() {
        silencedAtNanos = System.nanoTime();
    }

    private void restartAfterDelay() {
        synchronized (this) {
            http.stop(0);
        }
        try {
            Thread.sleep(restartDelay);
            synchronized (this) {
                if (!closed) {
                    boot++;
                    requests.clear();
                    model.restart();
                    http = StandinHttp.startServer(port, this::handle);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            System.getLogger(EngineServer.class.getName())
                    .log(System.Logger.Level.ERROR, "[engine-standin] Restart failed: {0}", e.getMessage());
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        String method = exchange.getRequestMethod();
        try {
            if (path.endsWith("/completions") && method.equals("POST")) {
                handleCompletion(exchange, path.contains("/chat/"));
            } else if (path.startsWith("/requests/")) {
                handleRequest(exchange, method, path.substring("/requests/".length()));
            } else {
                StandinHttp.replyJson(exchange, handleControl(exchange, method + " " + path));
            }
        } catch (EngineModelException e) {
            replyRejected(exchange, e);
        }
    }

    /**
     * Replies to a call that the engine rejected.
     *
     * <p>Only {@code WRONG_MODEL} is marked as not run: with {@code DOWN} the request may have run before the engine
     * went down.
     */
    private static void replyRejected(HttpExchange exchange, EngineModelException e) throws IOException {
        int status = switch (e.reason()) {
            case UNKNOWN_REQUEST -> 404;
            case DUPLICATE_REQUEST, BAD_OFFSET, RESERVATION_TOO_SMALL -> 409;
            case WRONG_MODEL, DOWN -> 503;
        };
        if (e.reason() == EngineModelException.Reason.WRONG_MODEL) {
            exchange.getResponseHeaders().set(ExecutionOutcome.HEADER, ExecutionOutcome.NOT_RUN.text());
        }
        StandinHttp.reply(exchange, status, e.getMessage());
    }

    private void handleCompletion(HttpExchange exchange, boolean chat) throws IOException, EngineModelException {
        JsonNode body = Json.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
        RequestId id = RequestId.of(exchange.getRequestHeaders().getFirst("X-Request-Id"));
        ServedRequest served = ServedRequest.parse(body, chat);
        model.submit(served.toEngineRequest(id, priority(exchange)));
        requests.put(id, served);
        streamAnswer(exchange, id, served, 0);
    }

    private static int priority(HttpExchange exchange) {
        String text = exchange.getRequestHeaders().getFirst("X-Priority");
        return text == null ? 0 : Integer.parseInt(text);
    }

    private void streamAnswer(HttpExchange exchange, RequestId id, ServedRequest served, int firstToken)
            throws IOException, EngineModelException {
        long openedAtNanos = System.nanoTime();
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        int sent = firstToken;
        while (true) {
            if (silencedAtNanos != 0 && openedAtNanos <= silencedAtNanos) {
                sleep(POLL_INTERVAL);
                continue;
            }
            StreamPart part = model.poll(id, sent);
            boolean last = part.state() == RequestState.COMPLETED;
            if (last || !part.tokens().isEmpty()) {
                writeEvent(
                        exchange, served.chunk(id, part.offset(), part.tokens().size(), last));
                sent = part.end();
            }
            if (last) {
                writeEvent(exchange, "[DONE]");
                model.poll(id, sent);
                return;
            }
            sleep(POLL_INTERVAL);
        }
    }

    private static void writeEvent(HttpExchange exchange, String data) throws IOException {
        exchange.getResponseBody().write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
    }

    private void handleRequest(HttpExchange exchange, String method, String idAndSuffix)
            throws IOException, EngineModelException {
        boolean resume = idAndSuffix.endsWith(STREAM_SUFFIX);
        RequestId id = RequestId.of(
                resume ? idAndSuffix.substring(0, idAndSuffix.length() - STREAM_SUFFIX.length()) : idAndSuffix);
        ServedRequest served = requests.get(id);
        Optional<RequestStatus> status = model.status(id);
        if (method.equals("DELETE")) {
            requests.remove(id);
            exports.remove(id);
            StandinHttp.replyJson(exchange, Map.of("cancelled", model.cancel(id)));
        } else if (served == null || status.isEmpty()) {
            StandinHttp.reply(exchange, 404, "request " + id + " is unknown");
        } else if (resume) {
            long offset = StandinHttp.longParameter(StandinHttp.queryParameters(exchange), "offset", 0);
            streamAnswer(exchange, id, served, served.tokensBefore(offset));
        } else {
            StandinHttp.replyJson(exchange, describe(status.get()));
        }
    }

    private ObjectNode describe(RequestStatus s) {
        ServedRequest served = requests.get(s.id());
        long offset = served == null ? 0 : served.textLength(s.offset());
        return Json.MAPPER
                .createObjectNode()
                .put("id", s.id().value())
                .put("state", s.state().name().toLowerCase(Locale.ROOT))
                .put("prefilled", s.prefilled())
                .put("offset", offset)
                .put("kv_tokens", s.kvTokens())
                .put("held_bytes", s.heldBytes());
    }

    private ObjectNode handleControl(HttpExchange exchange, String operation) throws IOException, EngineModelException {
        Map<String, String> query = StandinHttp.queryParameters(exchange);
        return switch (operation) {
            case "GET /load" -> loadReport();
            case "GET /requests" -> {
                ObjectNode response = Json.MAPPER.createObjectNode();
                ArrayNode rows = response.putArray("requests");
                model.list().forEach(s -> rows.add(describe(s)));
                yield response;
            }
            case "GET /cache/events" -> cacheEvents(StandinHttp.longParameter(query, "after", 0));
            case "POST /orders" ->
                executeOrder(Json.MAPPER.readTree(exchange.getRequestBody().readAllBytes()));
            case "POST /cache/import" -> {
                KvSnapshot kv = exports.remove(RequestId.of(query.getOrDefault("id", "")));
                if (kv == null) {
                    throw new IllegalArgumentException("no export \"" + query.get("id") + "\"");
                }
                model.importKv(RequestId.of(query.getOrDefault("reservation", "")), kv);
                yield Json.MAPPER.createObjectNode().put("tokens", kv.tokens());
            }
            case "POST /cache/export" -> {
                KvSnapshot kv = model.exportKv(RequestId.of(query.getOrDefault("id", "")));
                exports.put(kv.request().id(), kv);
                yield Json.MAPPER.createObjectNode().put("tokens", kv.tokens());
            }
            case "PUT /fault" -> setFault(query.getOrDefault("kind", "none"));
            default -> throw new IllegalArgumentException("no operation " + operation);
        };
    }

    private ObjectNode loadReport() {
        ObjectNode load = Json.MAPPER.createObjectNode();
        load.put("boot", boot)
                .put("leaving", leaving)
                .put("slots", settings.maxBatch())
                .put("cold_slots", settings.coldConcurrency())
                .put("kv_limit", settings.kvTokens());
        Optional<LoadReport> report = model.load();
        report.ifPresent(r -> load.put("cold", r.cold())
                .put("running", r.running())
                .put("waiting", r.waiting())
                .put("kv_tokens", r.kvTokens())
                .put("held_bytes", r.heldBytes())
                .put("model", r.loaded().model())
                .put("adapter", r.loaded().adapter())
                .put("version", r.loaded().version())
                .put("role", r.role().name().toLowerCase(Locale.ROOT)));
        report.ifPresent(r -> {
            ObjectNode pending = load.putObject("pending_prefill_tokens");
            r.pendingPrefillTokens().forEach((priority, tokens) -> pending.put(priority.toString(), tokens));
        });
        return load;
    }

    private ObjectNode cacheEvents(long after) {
        ObjectNode response = Json.MAPPER.createObjectNode();
        ArrayNode rows = response.putArray("events");
        for (CacheEvent e : model.cacheEvents(after)) {
            ArrayNode blocks = rows.addObject()
                    .put("sequence", e.sequence())
                    .put("kind", e.kind().name().toLowerCase(Locale.ROOT))
                    .putArray("blocks");
            for (long block : e.blocks()) {
                blocks.add(block);
            }
        }
        return response;
    }

    private ObjectNode executeOrder(JsonNode body) throws EngineModelException {
        long fencing = body.path("fencing").asLong();
        EngineOrder order = switch (body.path("kind").asText()) {
            case "load-model" ->
                new EngineOrder.LoadModel(
                        fencing,
                        LoadedModel.of(
                                body.path("model").asText(),
                                body.path("adapter").asText(),
                                body.path("version").asText()));
            case "load-adapter" ->
                new EngineOrder.LoadAdapter(fencing, body.path("adapter").asText());
            case "change-role" ->
                new EngineOrder.ChangeRole(
                        fencing, EngineRole.valueOf(body.path("role").asText().toUpperCase(Locale.ROOT)));
            default ->
                throw new IllegalArgumentException(
                        "no order of kind \"" + body.path("kind").asText() + "\"");
        };
        return switch (model.execute(order)) {
            case OrderReply.Accepted _ -> Json.MAPPER.createObjectNode().put("accepted", true);
            case OrderReply.Stale stale ->
                Json.MAPPER.createObjectNode().put("accepted", false).put("highest_fencing", stale.highest());
        };
    }

    private ObjectNode setFault(String kind) {
        switch (kind) {
            case "crash" -> model.crash("crashed as told");
            case "cold" -> model.enterColdStart();
            case "leaving" -> leaving = true;
            case "silent" -> silenceOpenStreams();
            case "none" -> {
                leaving = false;
                silencedAtNanos = 0;
            }
            default -> throw new IllegalArgumentException("no fault of kind \"" + kind + "\"");
        }
        return Json.MAPPER.createObjectNode().put("set", kind);
    }

    private static void sleep(Duration time) throws IOException {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            http.stop(0);
        }
    }
}
