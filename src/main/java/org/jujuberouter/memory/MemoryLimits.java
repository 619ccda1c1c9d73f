package org.jujuberouter.memory;

/**
 * The bounds on bytes held.
 *
 * @param streamBytes bytes of one stream
 * @param customerBytes bytes of all streams of a customer that has no setting of its own
 * @param instanceBytes bytes of all streams of the instance
 */
public record MemoryLimits(long streamBytes, long customerBytes, long instanceBytes) {
    /**
     * The bytes that each open stream may always hold, and the most that may be reserved at once. An empty stream can thus
     * always take one read, whatever the others hold.
     */
    public static final int GUARANTEED_BYTES = 8 * 1024;

    private static final long KIB = 1024;
    private static final long MIB = 1024 * KIB;

    /** A quarter of a bound is kept for floors, so that full shared bytes never keep a new stream from opening. */
    private static final int FLOOR_PART = 4;

    /** Checks that each level has room for at least one floor. */
    public MemoryLimits {
        if (streamBytes < GUARANTEED_BYTES || maxStreams(customerBytes) < 1 || maxStreams(instanceBytes) < 1) {
            throw new IllegalArgumentException("bounds " + streamBytes + ", " + customerBytes + " and " + instanceBytes
                    + " leave no room for a stream of " + GUARANTEED_BYTES + " bytes");
        }
    }

    /** Returns the bounds of 256 KiB, 16 MiB and 64 MiB. */
    public static MemoryLimits standard() {
        return new MemoryLimits(256 * KIB, 16 * MIB, 64 * MIB);
    }

    /** Returns how many streams may be open under a bound. */
    static long maxStreams(long bound) {
        return bound / FLOOR_PART / GUARANTEED_BYTES;
    }

    /** Returns how many bytes above the floors may be held under a bound. */
    static long maxShared(long bound) {
        return bound - bound / FLOOR_PART;
    }
}
