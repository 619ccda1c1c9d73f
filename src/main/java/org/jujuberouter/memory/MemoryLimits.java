package org.jujuberouter.memory;

/**
 * The limits on the bytes held for callers.
 *
 * @param streamBytes limit of one stream
 * @param customerBytes limit of all streams of a customer without a limit of its own
 * @param instanceBytes limit of all streams of the instance
 */
public record MemoryLimits(long streamBytes, long customerBytes, long instanceBytes) {
    /**
     * Bytes guaranteed to each open stream, and the most that may be reserved at once. A stream that holds nothing can
     * therefore always read once, whatever the others hold.
     */
    public static final int GUARANTEED_BYTES = 8 * 1024;

    private static final long KIB = 1024;
    private static final long MIB = 1024 * KIB;

    /**
     * A quarter of each limit is kept for guaranteed bytes, so that new streams can open while all shared bytes are
     * held.
     */
    private static final int GUARANTEED_DIVISOR = 4;

    /** Checks that each limit has room for the guaranteed bytes of at least one stream. */
    public MemoryLimits {
        if (streamBytes < GUARANTEED_BYTES || maxStreams(customerBytes) < 1 || maxStreams(instanceBytes) < 1) {
            throw new IllegalArgumentException("memory limits " + streamBytes + ", " + customerBytes + " and "
                    + instanceBytes + " (stream, customer, instance) leave no room for a stream of " + GUARANTEED_BYTES
                    + " bytes");
        }
    }

    /** Returns the default limits: 256 KiB per stream, 16 MiB per customer and 64 MiB per instance. */
    public static MemoryLimits standard() {
        return new MemoryLimits(256 * KIB, 16 * MIB, 64 * MIB);
    }

    /** Returns how many streams may be open under a limit. */
    static long maxStreams(long limit) {
        return limit / GUARANTEED_DIVISOR / GUARANTEED_BYTES;
    }

    /** Returns how many shared bytes, above the guaranteed ones, may be held under a limit. */
    static long maxShared(long limit) {
        return limit - limit / GUARANTEED_DIVISOR;
    }
}
