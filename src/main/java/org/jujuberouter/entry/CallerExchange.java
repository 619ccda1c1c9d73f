package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.misc.Json;

/**
 * One HTTP exchange with a caller.
 *
 * <p>It reads a request body of limited size and writes either a complete response or a stream of server-sent events.
 * An error before the first byte is sent as a JSON body with the error's status. A later error is sent as a final event
 * with the same JSON body, so that a truncated response never looks complete.
 */
final class CallerExchange implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private static final Duration CLOSE_GRACE = Duration.ofSeconds(1);
    private static final ScheduledThreadPoolExecutor TIMERS = timers();

    private final HttpExchange http;
    private boolean responseStarted;
    private OutputStream out;

    private CallerExchange(HttpExchange http) {
        this.http = http;
    }

    private static ScheduledThreadPoolExecutor timers() {
        ScheduledThreadPoolExecutor timers = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().name("caller-deadlines").daemon().factory());
        timers.setRemoveOnCancelPolicy(true);
        return timers;
    }

    static CallerExchange of(HttpExchange http) {
        return new CallerExchange(http);
    }

    String method() {
        return http.getRequestMethod();
    }

    String path() {
        return http.getRequestURI().getRawPath();
    }

    String pathAndQuery() {
        String query = http.getRequestURI().getRawQuery();
        return query == null ? path() : path() + "?" + query;
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(http.getRequestHeaders().getFirst(name));
    }

    /** Returns whether no part of the response has been sent. */
    boolean isUnanswered() {
        return !responseStarted;
    }

    /** Reads the whole body; fails if it exceeds the limit or is truncated. */
    byte[] readBody(int maxBytes) throws JujuberouterException {
        Optional<Long> declared = declaredLength();
        if (declared.isPresent() && declared.get() > maxBytes) {
            throw JujuberouterException.notRun(ErrorKind.BODY_TOO_LARGE, maxBytes);
        }
        ByteArrayOutputStream body =
                new ByteArrayOutputStream(declared.map(n -> Math.toIntExact(Math.min(n, READ_BUFFER_BYTES)))
                        .orElse(READ_BUFFER_BYTES));
        byte[] buffer = new byte[READ_BUFFER_BYTES];
        try {
            InputStream in = http.getRequestBody();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                body.write(buffer, 0, n);
                if (body.size() > maxBytes) {
                    throw JujuberouterException.notRun(ErrorKind.BODY_TOO_LARGE, maxBytes);
                }
            }
        } catch (IOException e) {
            throw JujuberouterException.notRun(ErrorKind.MALFORMED_BODY, "the connection ended before the body did");
        }
        if (declared.isPresent() && declared.get() != body.size()) {
            throw JujuberouterException.notRun(ErrorKind.MALFORMED_BODY, "the body is shorter than its Content-Length");
        }
        return body.toByteArray();
    }

    private Optional<Long> declaredLength() throws JujuberouterException {
        Optional<String> text = header("Content-Length");
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(text.get().trim()));
        } catch (NumberFormatException e) {
            throw JujuberouterException.invalidParameter(
                    ErrorKind.INVALID_PARAMETER, "Content-Length", "Content-Length", "it is not a number");
        }
    }

    void setHeader(String name, String value) {
        http.getResponseHeaders().set(name, value);
    }

    void sendJson(int status, JsonNode body) throws IOException {
        send(status, JSON, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    void send(int status, String contentType, byte[] body) throws IOException {
        responseStarted = true;
        setHeader("Content-Type", contentType);
        http.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            http.getResponseBody().write(body);
        }
    }

    /** Sends an error as the response, or as the final event if the response has already started. */
    void sendError(JujuberouterException e) throws IOException {
        ObjectNode body = errorBody(e.kind(), e.getMessage(), e.param(), e.outcome());
        if (responseStarted) {
            writeEvent(body.toString());
            return;
        }
        setHeader(ExecutionOutcome.HEADER, e.outcome().text());
        if (e.kind().status() == 503 || e.kind().status() == 429) {
            setHeader("Retry-After", "1");
        }
        sendJson(e.kind().status(), body);
    }

    static ObjectNode errorBody(ErrorKind kind, String message, String param, ExecutionOutcome outcome) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.putObject("error")
                .put("type", kind.type())
                .put("message", message)
                .put("param", param)
                .put("code", kind.code())
                .put("outcome", outcome.text());
        return body;
    }

    /** Starts a stream of server-sent events. */
    void startEvents() throws IOException {
        responseStarted = true;
        setHeader("Content-Type", "text/event-stream");
        setHeader("Cache-Control", "no-cache");
        http.sendResponseHeaders(200, 0);
        out = http.getResponseBody();
        out.flush();
    }

    void writeEvent(String data) throws IOException {
        out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    void finishEvents() throws IOException {
        out.write(DONE_EVENT.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /**
     * Closes the connection {@link #CLOSE_GRACE} after the request's deadline unless the guard is closed first.
     *
     * <p>Writing to a caller that has stopped reading blocks, and only closing the connection unblocks the writer.
     */
    DeadlineGuard closeAfterDeadline(RequestValidator.ValidatedRequest validated) {
        Duration wait = validated.timeLeft().plus(CLOSE_GRACE);
        ScheduledFuture<?> timer = TIMERS.schedule(http::close, wait.toMillis(), TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    @Override
    public void close() {
        http.close();
    }
}
