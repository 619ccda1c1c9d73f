package org.jujuberouter.catalog;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeaderBytes largest request line and header, in bytes
 * @param maxBodyBytes largest body, in bytes
 * @param headerTimeoutMs longest time for a whole header, in milliseconds
 * @param idleTimeoutMs time after which an idle connection may be closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** The limits before any configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
    }
}
