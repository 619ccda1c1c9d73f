package org.jujuberouter.store;

import java.nio.charset.StandardCharsets;

/**
 * One key of the platform store with its value.
 *
 * @param key the key
 * @param revision increases with every write to the store
 * @param value the bytes as written; not to be changed
 */
public record StoreEntry(String key, long revision, byte[] value) {
    /** Returns an entry. */
    public static StoreEntry of(String key, long revision, byte[] value) {
        return new StoreEntry(key, revision, value);
    }

    /** Returns the value as UTF-8 text. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
