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
 * @param storeKey where its record stands
 * @param bodyHash hash of everything that the call asks for, to recognise a key used with another body
 */
public record KeyedCall(String storeKey, String bodyHash) {
    private static final String PREFIX = "once/";

    /**
     * Returns the identity of a call.
     *
     * @param target method and path, such as "POST /credits"; another target with the same key counts as another body
     */
    public static KeyedCall of(
            CustomerId customer, IdempotencyKey key, ServiceName service, String target, byte[] body) {
        MessageDigest hash = sha256();
        // The zero byte separates the parts, so that no two different calls hash the same text.
        hash.update((service + "\0" + target + "\0").getBytes(StandardCharsets.UTF_8));
        String bodyHash = HexFormat.of().formatHex(hash.digest(body));
        // The key is the caller's free text, which may be long or hold characters that the store refuses.
        String keyHash = HexFormat.of().formatHex(sha256().digest(key.value().getBytes(StandardCharsets.UTF_8)));
        return new KeyedCall(PREFIX + customer + "/" + keyHash, bodyHash);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
