package org.jujuberouter.outcome;

/**
 * The endpoint's answer to a call that runs at most once.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or null
 * @param body the whole body; not to be changed
 */
public record StoredResult(int status, String contentType, byte[] body) {
    /** Larger bodies are not stored: at 200 calls a second the store would take over 3 MB/s. */
    public static final int MAX_BODY_BYTES = 16 * 1024;

    /** Returns a result. */
    public static StoredResult of(int status, String contentType, byte[] body) {
        return new StoredResult(status, contentType, body);
    }
}
