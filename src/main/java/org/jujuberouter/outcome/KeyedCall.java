package org.jujuberouter.outcome;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.ServiceName;

/**
 * Identifies a non-idempotent call with an idempotency key.
 *
 * @param storeKey the store key of its record
 * @param bodyHash hash of service, target and body, to detect a key that is reused for a different call
 */
public record KeyedCall(String storeKey, String bodyHash) {
    private static final String KEY_PREFIX = "once/";

    /**
     * Returns the identity of a call.
     *
     * @param target method and path, such as "POST /credits"; the same key with another target counts as a different
     *     call
     */
    public static KeyedCall of(
            CustomerId customer, IdempotencyKey key, ServiceName service, String target, byte[] body) {
        MessageDigest hash = sha256();
        // The zero bytes separate the parts, so that different calls never hash the same bytes.
        hash.update((service + "\0" + target + "\0").getBytes(StandardCharsets.UTF_8));
        String bodyHash = HexFormat.of().formatHex(hash.digest(body));
        // The key is arbitrary text from the caller; it may be long or contain characters that the store rejects.
        String keyHash = HexFormat.of().formatHex(sha256().digest(key.value().getBytes(StandardCharsets.UTF_8)));
        return new KeyedCall(KEY_PREFIX + customer + "/" + keyHash, bodyHash);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
