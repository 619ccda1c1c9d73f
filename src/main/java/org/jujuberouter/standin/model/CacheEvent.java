package org.jujuberouter.standin.model;

/**
 * A change of the prefix cache. A gap in the sequence numbers means that events were lost.
 *
 * @param sequence number of the event since the engine was created; not reset by a restart
 * @param occurredNanos time of the change
 * @param kind the kind of change
 * @param blocks hashes of the blocks; empty when the whole cache was cleared
 */
public record CacheEvent(long sequence, long occurredNanos, Kind kind, long[] blocks) {
    /** The kind of change. */
    public enum Kind {
        STORED,
        EVICTED,
        CLEARED
    }
}
