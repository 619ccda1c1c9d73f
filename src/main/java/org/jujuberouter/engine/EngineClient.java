package org.jujuberouter.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Json;

/**
 * A client for the streaming HTTP API of model engines.
 *
 * <p>One client serves all engines of an instance and keeps connections open between requests. All methods block the
 * calling virtual thread. The HTTP library never sends a POST twice, because it only retries idempotent methods.
 */
public final class EngineClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_ERROR_BYTES = 4096;

    private final HttpClient http;

    private EngineClient(HttpClient http) {
        this.http = http;
    }

    /** Returns a client with its own connection pool. */
    public static EngineClient create() {
        return new EngineClient(HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build());
    }

    /**
     * Sends a request and returns the response stream once the engine has started to respond.
     *
     * @param address host and port of the engine
     */
    public EngineStream submit(String address, EngineCall call) throws EngineException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + call.path()))
                .timeout(call.timeLeft())
                .header("Content-Type", "application/json")
                .header("X-Request-Id", call.attempt().value())
                .header("X-Priority", Integer.toString(call.priority()))
                .POST(BodyPublishers.ofByteArray(call.body().toString().getBytes(StandardCharsets.UTF_8)))
                .build();
        return open(address, request);
    }

    /** Opens the response stream of a running request from the given offset, which counts characters of the text. */
    public EngineStream resume(String address, RequestId attempt, long offset, Duration timeLeft)
            throws EngineException {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + address + "/requests/" + attempt + "/stream?offset=" + offset))
                .timeout(timeLeft)
                .GET()
                .build();
        return open(address, request);
    }

    /** Returns the status of a request at the engine; {@code state} is "unknown" if the engine does not know it. */
    public JsonNode status(String address, RequestId attempt, Duration timeout) throws EngineException {
        HttpResponse<String> response = get(address, "/requests/" + attempt, timeout);
        if (response.statusCode() == 404) {
            return Json.MAPPER.createObjectNode().put("state", "unknown");
        }
        return parse(address, response);
    }

    /** Reads a JSON document from the engine, such as its load report. */
    public JsonNode read(String address, String path, Duration timeout) throws EngineException {
        return parse(address, get(address, path, timeout));
    }

    /** Cancels a request; does nothing if the engine does not run it. */
    public void cancel(String address, RequestId attempt, Duration timeout) throws EngineException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/requests/" + attempt))
                .timeout(timeout)
                .DELETE()
                .build();
        send(address, request);
    }

    /** Sends an order, such as to load a model, and returns the engine's response. */
    public JsonNode order(String address, ObjectNode order, Duration timeout) throws EngineException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/orders"))
                .timeout(timeout)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(order.toString()))
                .build();
        return parse(address, send(address, request));
    }

    private HttpResponse<String> get(String address, String path, Duration timeout) throws EngineException {
        return send(
                address,
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(timeout)
                        .GET()
                        .build());
    }

    private HttpResponse<String> send(String address, HttpRequest request) throws EngineException {
        try {
            return http.send(request, BodyHandlers.ofString());
        } catch (IOException e) {
            throw toEngineException(address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw EngineException.connectionLost(address, e);
        }
    }

    private EngineStream open(String address, HttpRequest request) throws EngineException {
        HttpResponse<InputStream> response;
        try {
            response = http.send(request, BodyHandlers.ofInputStream());
        } catch (IOException e) {
            throw toEngineException(address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw EngineException.connectionLost(address, e);
        }
        if (response.statusCode() == 200) {
            return EngineStream.of(address, response.body());
        }
        boolean notRun = response.headers()
                .firstValue(ExecutionOutcome.HEADER)
                .filter(ExecutionOutcome.NOT_RUN.text()::equals)
                .isPresent();
        String body = readErrorBody(response.body());
        throw notRun
                ? EngineException.refused(address, response.statusCode(), body)
                : EngineException.failed(address, response.statusCode(), body);
    }

    private static String readErrorBody(InputStream body) {
        try (body) {
            return new String(body.readNBytes(MAX_ERROR_BYTES), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    private static JsonNode parse(String address, HttpResponse<String> response) throws EngineException {
        if (response.statusCode() >= 300) {
            throw EngineException.failed(address, response.statusCode(), response.body());
        }
        try {
            return Json.MAPPER.readTree(response.body());
        } catch (IOException e) {
            throw EngineException.connectionLost(address, e);
        }
    }

    /** A failure to connect proves that nothing was sent; after any other failure the request may have been sent. */
    static EngineException toEngineException(String address, IOException e) {
        return e instanceof ConnectException || e instanceof HttpConnectTimeoutException
                ? EngineException.notSent(address, e)
                : EngineException.connectionLost(address, e);
    }
}
