package org.jujuberouter.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * Client of the platform store over HTTP.
 *
 * <p>A write returns {@link WriteOutcome.Conflict} only if the store reported a conflict. Every other failure of a
 * write, even a refused connection, is {@link WriteOutcome.Unknown}, so that callers always handle it by reading back.
 * The JDK client sends a PUT, POST or DELETE at most once; only GET is retried after a broken connection.
 */
public final class HttpPlatformStore implements PlatformStore {
    /** Name of the header that carries the revision of the entry in the body. */
    public static final String REVISION_HEADER = "Store-Revision";

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformHttpClient client;
    private final Duration timeout;

    private HttpPlatformStore(PlatformHttpClient client, Duration timeout) {
        this.client = client;
        this.timeout = timeout;
    }

    /** Returns a client of the store at the given base address, such as http://10.0.0.9:8500. */
    public static HttpPlatformStore at(URI base) {
        return at(base, REQUEST_TIMEOUT);
    }

    /** Returns a client with the given request timeout, which a watch adds to its own waiting time. */
    public static HttpPlatformStore at(URI base, Duration timeout) {
        return new HttpPlatformStore(PlatformHttpClient.to(base), timeout);
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        return toEntry(key, "read " + key, client.send("GET", keyPath(key), null, timeout));
    }

    @Override
    public List<StoreEntry> list(String prefix) throws PlatformException {
        String operation = "list " + prefix;
        HttpResponse<byte[]> response =
                client.send("GET", "v1/keys?prefix=" + PlatformHttpClient.encode(prefix), null, timeout);
        if (response.statusCode() != 200) {
            throw PlatformHttpClient.unexpectedStatus(operation, response);
        }
        try {
            List<StoreEntry> entries = new ArrayList<>();
            for (JsonNode row : JSON.readTree(response.body()).path("entries")) {
                byte[] value = Base64.getDecoder().decode(row.path("value").asText());
                entries.add(StoreEntry.of(
                        row.path("key").asText(), row.path("revision").asLong(), value));
            }
            return entries;
        } catch (IOException | IllegalArgumentException e) {
            throw PlatformException.unavailable(operation, e);
        }
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease) {
        String leaseParameter = lease == null ? "" : "&lease=" + PlatformHttpClient.encode(lease.value());
        return write("PUT", key, keyPath(key) + "&expected=" + expectedRevision + leaseParameter, value);
    }

    @Override
    public WriteOutcome delete(String key, long expectedRevision) {
        return write("DELETE", key, keyPath(key) + "&expected=" + expectedRevision, null);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        HttpResponse<byte[]> response = client.send("POST", "v1/leases?ttl-ms=" + timeToLive.toMillis(), null, timeout);
        if (response.statusCode() != 200) {
            throw PlatformHttpClient.unexpectedStatus("grant lease", response);
        }
        return LeaseId.of(new String(response.body(), StandardCharsets.UTF_8).strip());
    }

    @Override
    public boolean renewLease(LeaseId lease) throws PlatformException {
        HttpResponse<byte[]> response = client.send("POST", leasePath(lease), null, timeout);
        return switch (response.statusCode()) {
            case 200 -> true;
            case 404 -> false;
            default -> throw PlatformHttpClient.unexpectedStatus("renew lease " + lease.value(), response);
        };
    }

    @Override
    public void revokeLease(LeaseId lease) throws PlatformException {
        HttpResponse<byte[]> response = client.send("DELETE", leasePath(lease), null, timeout);
        if (response.statusCode() != 200) {
            throw PlatformHttpClient.unexpectedStatus("revoke lease " + lease.value(), response);
        }
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        String path = keyPath(key) + "&after=" + afterRevision + "&wait-ms=" + wait.toMillis();
        HttpResponse<byte[]> response = client.send("GET", path, null, timeout.plus(wait));
        return response.statusCode() == 304 ? Optional.empty() : toEntry(key, "watch " + key, response);
    }

    private WriteOutcome write(String method, String key, String path, byte[] value) {
        String operation = method + " " + key;
        try {
            HttpResponse<byte[]> response = client.send(method, path, value, timeout);
            return switch (response.statusCode()) {
                case 200 -> new WriteOutcome.Done(parseRevision(operation, response));
                case 409 ->
                    new WriteOutcome.Conflict(
                            response.headers().firstValue(REVISION_HEADER).isEmpty()
                                    ? Optional.empty()
                                    : toEntry(key, operation, response));
                default -> new WriteOutcome.Unknown(PlatformHttpClient.unexpectedStatus(operation, response));
            };
        } catch (PlatformException e) {
            return new WriteOutcome.Unknown(e);
        }
    }

    private static Optional<StoreEntry> toEntry(String key, String operation, HttpResponse<byte[]> response)
            throws PlatformException {
        return switch (response.statusCode()) {
            case 200, 409 -> Optional.of(StoreEntry.of(key, parseRevision(operation, response), response.body()));
            case 404 -> Optional.empty();
            default -> throw PlatformHttpClient.unexpectedStatus(operation, response);
        };
    }

    private static long parseRevision(String operation, HttpResponse<byte[]> response) throws PlatformException {
        String text = response.headers().firstValue(REVISION_HEADER).orElse("");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw PlatformException.unavailable(operation, e);
        }
    }

    private static String keyPath(String key) {
        return "v1/key?key=" + PlatformHttpClient.encode(key);
    }

    private static String leasePath(LeaseId lease) {
        return "v1/leases/" + PlatformHttpClient.encode(lease.value());
    }
}
