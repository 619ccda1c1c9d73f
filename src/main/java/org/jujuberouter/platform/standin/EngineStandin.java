package org.jujuberouter.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.jujuberouter.misc.Json;

/**
 * A stand-in for an engine or the server of a plain service.
 *
 * <p>Paths that end with {@code /stream} are answered with a fixed number of events, all others with a short body.
 */
public final class EngineStandin implements AutoCloseable {
    /** How requests are handled. */
    public enum Behaviour {
        /** Runs the request and answers it. */
        ANSWER,
        /** Refuses the request for lack of capacity, without running it. */
        REFUSE,
        /** Runs the request and closes the connection without a response, or in the middle of an event. */
        BREAK,
        /** Runs the request and sends no response for a long time. */
        HANG,
        /** Runs the request and sends the head of a stream at once, but its events after a long time only. */
        PREFILL,
        /** Runs the request and answers nothing any more, other calls neither, with all connections open. */
        FREEZE,
        /** Runs the request and pauses for a long time after some events, with the connection open. */
        STALL,
        /** Runs the request to its end, but sends nothing more after some events, with the connection open. */
        LOSE_CONNECTION,
        /** Runs the request and sends bytes without end that contain no event, after some events. */
        FLOOD,
        /** Runs the request and sends a byte now and then, without ever completing an event, after some events. */
        TRICKLE,
        /** Runs the request and answers it with a large body. */
        LARGE_BODY,
        /** Runs the request and closes the connection in the middle of a large body. */
        BREAK_LARGE_BODY
    }

    /**
     * Memory that is set aside.
     *
     * @param expiresAt end of the hold on the clock of {@link System#nanoTime}
     */
    private record Ticket(long tokens, long expiresAt) {}

    private static final int LARGE_BODY_BYTES = 240 << 10;
    private static final int BROKEN_BODY_BYTES = 600 << 10;
    private static final int FLOOD_CHUNK_BYTES = 16 << 10;
    private static final long TRICKLE_INTERVAL_MS = 100;

    private static final int EVENTS = 6;
    private static final int EVENTS_BEFORE_BREAK = 3;
    private static final long HANG_MS = 20_000;
    private static final long RESTART_MS = 1_500;

    private final String id;
    private final AtomicInteger crashes = new AtomicInteger();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final InetSocketAddress address;
    private volatile HttpServer server;
    private volatile boolean closed;
    private volatile String deadlyPart = "";
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final List<String> runs = new CopyOnWriteArrayList<>();
    private final List<String> memoryRequests = new CopyOnWriteArrayList<>();
    private final Map<String, Ticket> tickets = new ConcurrentHashMap<>();
    private final Set<String> usedTickets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger abandonedStreams = new AtomicInteger();
    private final long eventGapMs;
    private final long startedAtMs = System.currentTimeMillis();
    private volatile Behaviour behaviour = Behaviour.ANSWER;
    private final Map<String, Long> orderDelaysMs = new ConcurrentHashMap<>();
    private final Map<String, String> callHeaders = new ConcurrentHashMap<>();
    private volatile boolean memoryFree = true;

    private EngineStandin(String id, HttpServer server, long eventGapMs) {
        this.id = id;
        this.eventGapMs = eventGapMs;
        this.address = server.getAddress();
        serveOn(server);
    }

    private void serveOn(HttpServer newServer) {
        newServer.createContext("/", this::serve);
        newServer.setExecutor(executor);
        newServer.start();
        server = newServer;
    }

    /** Starts an engine on a free loopback port. */
    public static EngineStandin start(String id, long eventGapMs) throws IOException {
        return new EngineStandin(
                id, HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0), eventGapMs);
    }

    /** Sets how requests are handled from now on. */
    public void setBehaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Returns the endpoint id. */
    public String id() {
        return id;
    }

    /** Returns the loopback port on which it listens. */
    public int port() {
        return address.getPort();
    }

    /** Returns the attempt ids of the calls that it received, run or not, in order; probes have none. */
    public List<String> requests() {
        return List.copyOf(requests);
    }

    /** Adds a header to the responses to calls. */
    public void setCallHeader(String name, String value) {
        callHeaders.put(name, value);
    }

    /** Returns the ids of the requests that were run, in order. */
    public List<String> runs() {
        return List.copyOf(runs);
    }

    /** Returns the bodies of the requests to the memory interface, in order. */
    public List<String> memoryRequests() {
        return List.copyOf(memoryRequests);
    }

    /** Leaves orders of an operation unanswered from now on and carries them out so much later; 0 answers them. */
    public void setOrderDelay(String operation, long delayMs) {
        orderDelaysMs.put(operation, delayMs);
    }

    /** Sets whether reserve orders are granted. */
    public void setMemoryFree(boolean free) {
        memoryFree = free;
    }

    /** Returns the ids of the reservations that hold memory. */
    public Set<String> heldReservations() {
        long now = System.nanoTime();
        return tickets.entrySet().stream()
                .filter(e -> e.getValue().expiresAt - now > 0)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the ids of the reservations that a request uses which this engine answers. */
    public Set<String> usedReservations() {
        return Set.copyOf(usedTickets);
    }

    /** Returns the number of streams whose connection was closed before they ended. */
    public int abandonedStreams() {
        return abandonedStreams.get();
    }

    /** Returns the registration of this endpoint for the store. */
    public String registration(String service, String domain, String state) {
        return registration(service, domain, state, port());
    }

    /** Returns the registration with the port of a proxy in front of this endpoint. */
    String registration(String service, String domain, String state, int port) {
        return Json.MAPPER
                .createObjectNode()
                .put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", domain)
                .put("Version", "v1")
                .put("Slots", 8)
                .put("State", state)
                .put("ColdRemainingMs", 0)
                .put("Sequence", 1)
                .put("born", startedAtMs)
                .toString();
    }

    /** Crashes from now on when it begins to answer a request whose prompt contains the part. */
    public void setDeadlyPart(String partId) {
        deadlyPart = partId;
    }

    /** Returns how often it has crashed. */
    public int crashes() {
        return crashes.get();
    }

    /** Ends all connections and listens again after a while. */
    public void crash() {
        crashes.incrementAndGet();
        server.stop(0);
        executor.execute(() -> {
            pause(RESTART_MS);
            try {
                if (!closed) {
                    serveOn(HttpServer.create(address, 0));
                }
            } catch (IOException e) {
                throw new UncheckedIOException("port " + address.getPort() + " is taken", e);
            }
        });
    }

    @Override
    public void close() {
        closed = true;
        server.stop(0);
        executor.shutdownNow();
    }

    private void serve(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Headers requestHeaders = exchange.getRequestHeaders();
        Headers responseHeaders = exchange.getResponseHeaders();
        String attempt = requestHeaders.getFirst("X-Jujuberouter-Attempt-Id");
        if (attempt != null) {
            responseHeaders.set("X-Jujuberouter-Attempt-Id", attempt);
        }
        String expected = requestHeaders.getFirst("X-Jujuberouter-Expect-Instance");
        if (expected != null && !id.equals(expected)) {
            reply(exchange, 421, "");
            return;
        }
        if (exchange.getRequestURI().getPath().equals("/v1/order")) {
            memoryRequests.add(new String(body, StandardCharsets.UTF_8));
            answerOrder(exchange, Json.MAPPER.readTree(body));
            return;
        }
        if (exchange.getRequestURI().getPath().equals("/v1/report")) {
            if (behaviour == Behaviour.FREEZE) {
                pause(HANG_MS);
            }
            reply(exchange, 200, report());
            return;
        }
        if (attempt != null) {
            requests.add(attempt);
        }
        callHeaders.forEach(responseHeaders::set);
        // A request without an id may come from a client that was meant for another process.
        if (attempt == null || behaviour == Behaviour.REFUSE) {
            responseHeaders.set("X-Jujuberouter-Not-Executed", "1");
            reply(exchange, attempt == null ? 400 : 503, "");
            return;
        }
        runs.add(attempt);
        responseHeaders.set("X-Jujuberouter-Response-Signature", "signed-" + id);
        String parts = requestHeaders.getFirst("X-Jujuberouter-Prefix-Hash");
        if (!deadlyPart.isEmpty() && parts != null && parts.contains(deadlyPart)) {
            exchange.sendResponseHeaders(200, 0);
            exchange.getResponseBody().flush();
            pause(eventGapMs);
            crash();
            return;
        }
        if (behaviour == Behaviour.HANG || behaviour == Behaviour.FREEZE) {
            pause(HANG_MS);
        }
        if (exchange.getRequestURI().getPath().endsWith("/stream")) {
            String ticket = ownTicket(requestHeaders);
            usedTickets.add(ticket);
            try {
                stream(exchange, requestHeaders.getFirst("Last-Event-Id"), ticket);
            } finally {
                usedTickets.remove(ticket);
            }
        } else {
            answerPlain(exchange);
        }
    }

    private void answerPlain(HttpExchange exchange) throws IOException {
        if (behaviour == Behaviour.BREAK_LARGE_BODY) {
            exchange.sendResponseHeaders(200, BROKEN_BODY_BYTES);
            exchange.getResponseBody().write(new byte[BROKEN_BODY_BYTES / 2]);
            throw new IOException("body truncated as configured");
        } else if (behaviour == Behaviour.LARGE_BODY) {
            reply(exchange, 200, "x".repeat(LARGE_BODY_BYTES));
        } else if (behaviour == Behaviour.BREAK) {
            // Closing the exchange without a response closes the connection.
            exchange.close();
        } else {
            reply(exchange, 200, "done by " + id);
        }
    }

    private void answerOrder(HttpExchange exchange, JsonNode order) throws IOException {
        long delayMs = orderDelaysMs.getOrDefault(order.path("Operation").asText(), 0L);
        if (delayMs > 0) {
            pause(delayMs);
            carryOut(order);
            throw new IOException("order left unanswered as configured");
        }
        reply(exchange, carryOut(order) ? 200 : 409, "{\"Unallocated\":0}");
    }

    private boolean carryOut(JsonNode order) {
        String ticket = order.path("Id").asText();
        if (order.path("Operation").asText().equals("release")) {
            tickets.remove(ticket);
            return true;
        }
        if (memoryFree) {
            long holdNanos = TimeUnit.MILLISECONDS.toNanos(order.path("HoldMs").asLong());
            tickets.put(ticket, new Ticket(order.path("TokenCount").asLong(), System.nanoTime() + holdNanos));
        }
        return memoryFree;
    }

    private String report() {
        ObjectNode report = Json.MAPPER.createObjectNode().put("Phase", "unified");
        ArrayNode listed = report.putArray("Tickets");
        tickets.forEach((ticket, held) -> listed.addObject()
                .put("Id", ticket)
                .put("TokenCount", held.tokens)
                .put("State", usedTickets.contains(ticket) ? "used" : "held"));
        return report.toString();
    }

    /** Returns the ticket of the request at the engine that answers it, which is listed first; empty if it has none. */
    private static String ownTicket(Headers requestHeaders) {
        String helpers = requestHeaders.getFirst("X-Jujuberouter-Helpers");
        String first = helpers == null ? "" : helpers.split(",")[0];
        return first.substring(first.indexOf('/') + 1);
    }

    private void stream(HttpExchange exchange, String after, String ticket) throws IOException {
        int first = after == null ? 1 : Integer.parseInt(after) + 1;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream out = exchange.getResponseBody();
        try {
            if (behaviour == Behaviour.PREFILL) {
                out.flush();
                pause(HANG_MS);
            }
            for (int i = first; i <= EVENTS; i++) {
                if (behaviour == Behaviour.BREAK && i == first + EVENTS_BEFORE_BREAK) {
                    out.write(("id: " + i + "\nda").getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    // Closes the connection without the final chunk of a complete response.
                    throw new IOException("stream truncated as configured");
                }
                if (behaviour == Behaviour.FLOOD && i == first + EVENTS_BEFORE_BREAK) {
                    writeUntilClosed(out, FLOOD_CHUNK_BYTES, 0);
                }
                if (behaviour == Behaviour.TRICKLE && i == first + EVENTS_BEFORE_BREAK) {
                    writeUntilClosed(out, 1, TRICKLE_INTERVAL_MS);
                }
                if (behaviour == Behaviour.LOSE_CONNECTION && i == first + EVENTS_BEFORE_BREAK) {
                    usedTickets.remove(ticket);
                    pause(HANG_MS);
                }
                if (behaviour == Behaviour.STALL && i == first + EVENTS_BEFORE_BREAK) {
                    pause(HANG_MS);
                }
                out.write(("id: " + i + "\ndata: " + i + "\n\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
                pause(eventGapMs);
            }
            exchange.close();
        } catch (IOException e) {
            abandonedStreams.incrementAndGet();
            throw e;
        }
    }

    /** Writes chunks without a line end until the other side closes the connection, which throws. */
    private static void writeUntilClosed(OutputStream out, int chunkBytes, long intervalMs) throws IOException {
        byte[] chunk = "x".repeat(chunkBytes).getBytes(StandardCharsets.US_ASCII);
        while (!Thread.currentThread().isInterrupted()) {
            out.write(chunk);
            out.flush();
            pause(intervalMs);
        }
    }

    private static void reply(HttpExchange exchange, int status, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
