package org.jujuberouter.outcome;

/**
 * The stored response to a keyed call.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or null
 * @param body the complete body; must not be modified
 */
public record StoredResult(int status, String contentType, byte[] body) {
    /** Larger bodies are not stored: at 200 calls a second the store would take over 3 MB/s. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    public static StoredResult of(int status, String contentType, byte[] body) {
        return new StoredResult(status, contentType, body);
    }
}
