package org.jujuberouter.store;

import java.nio.charset.StandardCharsets;

/**
 * An entry of the platform store.
 *
 * @param key the key
 * @param revision the revision of the entry; revisions increase with every write to the store
 * @param value the value, which must not be modified
 */
public record StoreEntry(String key, long revision, byte[] value) {
    public static StoreEntry of(String key, long revision, byte[] value) {
        return new StoreEntry(key, revision, value);
    }

    /** Returns the value decoded as UTF-8. */
    public String text() {
        return new String(value, StandardCharsets.UTF_8);
    }
}
