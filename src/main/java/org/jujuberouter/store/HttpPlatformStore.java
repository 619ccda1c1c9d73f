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
 * A client of the platform store over HTTP.
 *
 * <p>A write answers {@link WriteOutcome.Conflict} only when the store said so. Every failure of a write is
 * {@link WriteOutcome.Unknown}, also a refused connection, so that callers have one rule: read back. The JDK client sends
 * a PUT, POST or DELETE at most once by itself; only GET is repeated on a broken connection.
 */
public final class HttpPlatformStore implements PlatformStore {
    /** The header that carries the revision of the entry in the body. */
    public static final String REVISION_HEADER = "Store-Revision";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpCalls calls;
    private final Duration timeout;

    private HttpPlatformStore(HttpCalls calls, Duration timeout) {
        this.calls = calls;
        this.timeout = timeout;
    }

    /** Returns a client of the store at the given base address, such as http://10.0.0.9:8500. */
    public static HttpPlatformStore at(URI base) {
        return at(base, CALL_TIMEOUT);
    }

    /** Returns a client that waits at most the given time for each answer; a watch waits that much longer. */
    public static HttpPlatformStore at(URI base, Duration timeout) {
        return new HttpPlatformStore(HttpCalls.to(base), timeout);
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        return entry(key, "read " + key, calls.send("GET", keyPath(key), null, timeout));
    }

    @Override
    public List<StoreEntry> list(String prefix) throws PlatformException {
        String operation = "list " + prefix;
        HttpResponse<byte[]> response = calls.send("GET", "v1/keys?prefix=" + HttpCalls.encode(prefix), null, timeout);
        if (response.statusCode() != 200) {
            throw HttpCalls.unexpected(operation, response);
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
        String leasePart = lease == null ? "" : "&lease=" + HttpCalls.encode(lease.value());
        return write("PUT", key, keyPath(key) + "&expected=" + expectedRevision + leasePart, value);
    }

    @Override
    public WriteOutcome delete(String key, long expectedRevision) {
        return write("DELETE", key, keyPath(key) + "&expected=" + expectedRevision, null);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        HttpResponse<byte[]> response = calls.send("POST", "v1/leases?ttl-ms=" + timeToLive.toMillis(), null, timeout);
        if (response.statusCode() != 200) {
            throw HttpCalls.unexpected("grant lease", response);
        }
        return LeaseId.of(new String(response.body(), StandardCharsets.UTF_8).strip());
    }

    @Override
    public boolean renewLease(LeaseId lease) throws PlatformException {
        HttpResponse<byte[]> response = calls.send("POST", leasePath(lease), null, timeout);
        return switch (response.statusCode()) {
            case 200 -> true;
            case 404 -> false;
            default -> throw HttpCalls.unexpected("renew lease " + lease.value(), response);
        };
    }

    @Override
    public void revokeLease(LeaseId lease) throws PlatformException {
        HttpResponse<byte[]> response = calls.send("DELETE", leasePath(lease), null, timeout);
        if (response.statusCode() != 200) {
            throw HttpCalls.unexpected("revoke lease " + lease.value(), response);
        }
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        String path = keyPath(key) + "&after=" + afterRevision + "&wait-ms=" + wait.toMillis();
        HttpResponse<byte[]> response = calls.send("GET", path, null, timeout.plus(wait));
        return response.statusCode() == 304 ? Optional.empty() : entry(key, "watch " + key, response);
    }

    private WriteOutcome write(String method, String key, String path, byte[] value) {
        String operation = method + " " + key;
        try {
            HttpResponse<byte[]> response = calls.send(method, path, value, timeout);
            return switch (response.statusCode()) {
                case 200 -> new WriteOutcome.Done(revision(operation, response));
                case 409 ->
                    new WriteOutcome.Conflict(
                            response.headers().firstValue(REVISION_HEADER).isEmpty()
                                    ? Optional.empty()
                                    : entry(key, operation, response));
                default -> new WriteOutcome.Unknown(HttpCalls.unexpected(operation, response));
            };
        } catch (PlatformException e) {
            return new WriteOutcome.Unknown(e);
        }
    }

    private static Optional<StoreEntry> entry(String key, String operation, HttpResponse<byte[]> response)
            throws PlatformException {
        return switch (response.statusCode()) {
            case 200, 409 -> Optional.of(StoreEntry.of(key, revision(operation, response), response.body()));
            case 404 -> Optional.empty();
            default -> throw HttpCalls.unexpected(operation, response);
        };
    }

    private static long revision(String operation, HttpResponse<byte[]> response) throws PlatformException {
        String text = response.headers().firstValue(REVISION_HEADER).orElse("");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw PlatformException.unavailable(operation, e);
        }
    }

    private static String keyPath(String key) {
        return "v1/key?key=" + HttpCalls.encode(key);
    }

    private static String leasePath(LeaseId lease) {
        return "v1/leases/" + HttpCalls.encode(lease.value());
    }
}
