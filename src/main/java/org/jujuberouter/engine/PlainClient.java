package org.jujuberouter.engine;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.jujuberouter.error.ExecutionOutcome;

/** An HTTP client for plain services. Each call is attempted once; retries are up to the user of this class. */
public final class PlainClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    private final HttpClient http;

    private PlainClient(HttpClient http) {
        this.http = http;
    }

    /** Returns a client with its own connection pool. */
    public static PlainClient create() {
        return new PlainClient(HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build());
    }

    /**
     * Sends a call and waits for the complete response.
     *
     * @param address host and port of the endpoint
     */
    public PlainResponse call(String address, PlainCall call, Duration timeLeft) throws EngineException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + call.path()))
                .timeout(timeLeft)
                .header("X-Request-Id", call.attempt().value())
                .method(call.method(), BodyPublishers.ofByteArray(call.body()));
        if (call.contentType() != null) {
            request.header("Content-Type", call.contentType());
        }
        if (call.key() != null) {
            request.header("Idempotency-Key", call.key().value());
        }
        HttpResponse<byte[]> response;
        try {
            response = http.send(request.build(), BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw EngineClient.toEngineException(address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw EngineException.connectionLost(address, e);
        }
        String outcome = response.headers().firstValue(ExecutionOutcome.HEADER).orElse("");
        if (outcome.equals(ExecutionOutcome.NOT_RUN.text())) {
            throw EngineException.refused(address, response.statusCode(), "");
        }
        String type = response.headers().firstValue("Content-Type").orElse("application/octet-stream");
        return new PlainResponse(response.statusCode(), type, response.body());
    }
}
