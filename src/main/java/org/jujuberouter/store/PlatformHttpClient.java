package org.jujuberouter.store;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP client for the platform's services; reports failed requests as a {@link PlatformException}. */
final class PlatformHttpClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient client;
    private final URI base;

    private PlatformHttpClient(HttpClient client, URI base) {
        this.client = client;
        this.base = base;
    }

    static PlatformHttpClient to(URI base) {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        String text = base.toString();
        return new PlatformHttpClient(client, text.endsWith("/") ? base : URI.create(text + "/"));
    }

    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    HttpResponse<byte[]> send(String method, String path, byte[] body, Duration timeout) throws PlatformException {
        String operation = method + " " + path;
        HttpRequest request = HttpRequest.newBuilder(base.resolve(path))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofByteArray(body))
                .timeout(timeout)
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
        } catch (IOException e) {
            throw PlatformException.unavailable(operation, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PlatformException.unavailable(operation, e);
        }
    }

    static PlatformException unexpectedStatus(String operation, HttpResponse<byte[]> response) {
        String text = new String(response.body(), StandardCharsets.UTF_8);
        String reason = "status " + response.statusCode() + (text.isBlank() ? "" : ": " + text.strip());
        return response.statusCode() >= 500
                ? PlatformException.unavailable(operation, new IOException(reason))
                : PlatformException.refused(operation, reason);
    }
}
