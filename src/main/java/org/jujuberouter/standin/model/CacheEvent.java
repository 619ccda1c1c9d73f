package org.jujuberouter.standin.model;

/**
 * A change of the prefix cache. A jump in the sequence numbers means that events were lost.
 *
 * @param sequence number of the event since the engine was created; it continues over restarts
 * @param takenNanos when the change happened
 * @param kind the kind of change
 * @param blocks hashes of the blocks; empty when the whole cache was cleared
 */
public record CacheEvent(long sequence, long takenNanos, Kind kind, long[] blocks) {
    /** The kinds of changes. */
    public enum Kind {
        STORED,
        EVICTED,
        CLEARED
    }
}
