package org.jujuberouter.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.misc.Json;

/** Caller based on the HTTP client of the JDK; distributes completion requests round-robin over the instances. */
final class DemoCaller {
    static final String MODEL = "jujube-1";

    private static final int BYTES_PER_TOKEN = 4;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> instances;
    private final String apiKey;
    private final AtomicInteger nextIndex = new AtomicInteger();

    private DemoCaller(List<String> instances, String apiKey) {
        this.instances = instances;
        this.apiKey = apiKey;
    }

    static DemoCaller of(List<String> instances, String apiKey) {
        return new DemoCaller(instances, apiKey);
    }

    /**
     * Result of one request.
     *
     * @param status HTTP status
     * @param outcome value of the outcome header, or an empty string
     * @param correct whether the response was complete and belongs to the request
     * @param millis time until the end of the response
     * @param body body of the response, or the cause of a failure
     */
    record CallerResult(int status, String outcome, boolean correct, long millis, String body) {}

    /** Requests a completion of the given length for a generated prompt and checks that the response is correct. */
    CallerResult complete(String marker, int promptTokens, int answerTokens, int bytesPerSecond) throws IOException {
        String prompt = ("marker-" + marker + " ").concat("word ".repeat(promptTokens * BYTES_PER_TOKEN / 5));
        return complete(prompt, marker, answerTokens, bytesPerSecond);
    }

    /** Requests a completion of the given length for the given prompt and checks that the response is correct. */
    CallerResult complete(String prompt, String marker, int answerTokens, int bytesPerSecond) throws IOException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("model", MODEL).put("prompt", prompt);
        body.put("max_tokens", answerTokens).put("stream", true);
        long startNanos = System.nanoTime();
        HttpResponse<InputStream> response =
                send(nextInstance(), "/v1/completions", body.toString(), null, BodyHandlers.ofInputStream());
        String text = read(response.body(), bytesPerSecond);
        StringBuilder responseText = new StringBuilder();
        boolean terminated = false;
        for (String line : text.split("\n\n")) {
            if (line.equals("data: [DONE]")) {
                terminated = true;
            } else if (line.startsWith("data: ")) {
                responseText.append(Json.MAPPER
                        .readTree(line.substring("data: ".length()))
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText());
            }
        }
        boolean correct = terminated && responseText.toString().equals(expectedText(marker, answerTokens));
        return new CallerResult(response.statusCode(), outcome(response), correct, millisSince(startNanos), text);
    }

    /** Sends a POST request through the given instance. */
    CallerResult post(int instance, String path, String body, String key) throws IOException {
        long startNanos = System.nanoTime();
        String address = instances.get(instance % instances.size());
        HttpResponse<String> response = send(address, path, body, key, BodyHandlers.ofString());
        boolean correct = response.statusCode() < 300;
        return new CallerResult(
                response.statusCode(), outcome(response), correct, millisSince(startNanos), response.body());
    }

    private static String expectedText(String marker, int answerTokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < answerTokens; i++) {
            text.append('t').append(i).append(' ');
        }
        return text.append("marker-").append(marker).toString();
    }

    private String nextInstance() {
        return instances.get(Math.floorMod(nextIndex.getAndIncrement(), instances.size()));
    }

    private <T> HttpResponse<T> send(
            String address, String path, String body, String key, HttpResponse.BodyHandler<T> handler)
            throws IOException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(60))
                .header("Authorization", "Bearer " + apiKey)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        try {
            return http.send(request.build(), handler);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during a request", e);
        }
    }

    private static String read(InputStream in, int bytesPerSecond) throws IOException {
        try (in) {
            if (bytesPerSecond == 0) {
                return new String(in.readAllBytes(), StandardCharsets.UTF_8);
            }
            StringBuilder text = new StringBuilder();
            int chunkBytes = Math.max(1, bytesPerSecond / 20);
            for (byte[] chunk = in.readNBytes(chunkBytes); chunk.length > 0; chunk = in.readNBytes(chunkBytes)) {
                text.append(new String(chunk, StandardCharsets.UTF_8));
                Thread.sleep(50);
            }
            return text.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during a request", e);
        }
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("Jujuberouter-Outcome").orElse("");
    }

    private static long millisSince(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000L;
    }
}
