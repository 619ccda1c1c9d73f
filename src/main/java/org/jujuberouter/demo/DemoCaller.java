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

/** A caller that uses only the JDK's HTTP client and spreads its requests over the instances. */
final class DemoCaller {
    static final String MODEL = "jujube-1";

    private static final int BYTES_PER_TOKEN = 4;

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<String> instances;
    private final String apiKey;
    private final AtomicInteger next = new AtomicInteger();

    private DemoCaller(List<String> instances, String apiKey) {
        this.instances = instances;
        this.apiKey = apiKey;
    }

    static DemoCaller of(List<String> instances, String apiKey) {
        return new DemoCaller(instances, apiKey);
    }

    /**
     * What a caller saw of one request.
     *
     * @param status the HTTP status
     * @param outcome the outcome header, or an empty text
     * @param whole whether the answer was whole and the caller's own
     * @param millis time until the end
     * @param body the body or what came of it
     */
    record Seen(int status, String outcome, boolean whole, long millis, String body) {}

    /** Asks for an answer of the given length to a prompt of the given length and checks that it is whole. */
    Seen complete(String marker, int promptTokens, int answerTokens, int bytesPerSecond) throws IOException {
        String prompt = ("marker-" + marker + " ").concat("word ".repeat(promptTokens * BYTES_PER_TOKEN / 5));
        return complete(prompt, marker, answerTokens, bytesPerSecond);
    }

    /** Sends the prompt as it is. */
    Seen complete(String prompt, String marker, int answerTokens, int bytesPerSecond) throws IOException {
        ObjectNode body = Json.MAPPER.createObjectNode();
        body.put("model", MODEL).put("prompt", prompt);
        body.put("max_tokens", answerTokens).put("stream", true);
        long start = System.nanoTime();
        HttpResponse<InputStream> response =
                send(nextInstance(), "/v1/completions", body.toString(), null, BodyHandlers.ofInputStream());
        String text = read(response.body(), bytesPerSecond);
        StringBuilder answer = new StringBuilder();
        boolean done = false;
        for (String line : text.split("\n\n")) {
            if (line.equals("data: [DONE]")) {
                done = true;
            } else if (line.startsWith("data: ")) {
                answer.append(Json.MAPPER
                        .readTree(line.substring("data: ".length()))
                        .path("choices")
                        .path(0)
                        .path("text")
                        .asText());
            }
        }
        boolean whole = done && answer.toString().equals(expected(marker, answerTokens));
        return new Seen(response.statusCode(), outcome(response), whole, millisSince(start), text);
    }

    /** Calls a plain service through the given instance. */
    Seen post(int instance, String path, String body, String key) throws IOException {
        long start = System.nanoTime();
        String address = instances.get(instance % instances.size());
        HttpResponse<String> response = send(address, path, body, key, BodyHandlers.ofString());
        boolean whole = response.statusCode() < 300;
        return new Seen(response.statusCode(), outcome(response), whole, millisSince(start), response.body());
    }

    private static String expected(String marker, int answerTokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < answerTokens; i++) {
            text.append('t').append(i).append(' ');
        }
        return text.append("marker-").append(marker).toString();
    }

    private String nextInstance() {
        return instances.get(Math.floorMod(next.getAndIncrement(), instances.size()));
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
            throw new IOException("interrupted", e);
        }
    }

    private static String read(InputStream in, int bytesPerSecond) throws IOException {
        try (in) {
            if (bytesPerSecond == 0) {
                return new String(in.readAllBytes(), StandardCharsets.UTF_8);
            }
            StringBuilder text = new StringBuilder();
            int step = Math.max(1, bytesPerSecond / 20);
            for (byte[] piece = in.readNBytes(step); piece.length > 0; piece = in.readNBytes(step)) {
                text.append(new String(piece, StandardCharsets.UTF_8));
                Thread.sleep(50);
            }
            return text.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static String outcome(HttpResponse<?> response) {
        return response.headers().firstValue("Jujuberouter-Outcome").orElse("");
    }

    private static long millisSince(long start) {
        return (System.nanoTime() - start) / 1_000_000L;
    }
}
