package org.jujuberouter.catalog;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the request line and the header, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs time within which the complete header must arrive, in milliseconds
 * @param idleTimeoutMs time after which an idle connection may be closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Returns the limits that apply until a configuration has been loaded. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
    }
}
