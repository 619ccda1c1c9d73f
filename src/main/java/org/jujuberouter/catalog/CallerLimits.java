package org.jujuberouter.catalog;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the request line, and of the header fields, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeoutMs time within which the complete header must arrive, in milliseconds
 * @param idleTimeoutMs time after which an idle connection may be closed, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Returns the limits of a configuration that states none. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
    }

    /**
     * Returns the limits that apply until a configuration has been loaded. Sizes are those that any configuration allows at
     * most, since a request that the configuration allows must not be rejected for good because it is not known yet.
     */
    public static CallerLimits beforeConfiguration() {
        CallerLimits defaults = defaults();
        return new CallerLimits(
                InstanceCapacity.MAX_HEADER_BYTES,
                InstanceCapacity.MAX_BODY_BYTES,
                defaults.headerTimeoutMs(),
                defaults.idleTimeoutMs());
    }
}
