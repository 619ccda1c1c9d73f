package org.jujuberouter.limits;

import java.util.List;

/**
 * The demand at one instance, carried by its heartbeat.
 *
 * @param entries the customers with the greatest demand; who is missing counts as without demand
 */
public record DemandDigest(List<Entry> entries) {
    /** Most entries; 16 of about 24 bytes to 7 peers a second are 2.7 KB/s. */
    public static final int MAX_ENTRIES = 16;

    /** Copies the entries and rejects too many. */
    public DemandDigest {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " entries exceed " + MAX_ENTRIES);
        }
    }

    /**
     * The demand of one customer.
     *
     * @param key the customer and service
     * @param requestsPerSecond requests that arrived, refused ones included
     * @param tokensPerSecond tokens of the requests that arrived
     * @param activeLong long prompts that run
     * @param refusedLong long prompts refused recently
     */
    public record Entry(
            LimitKey key, double requestsPerSecond, double tokensPerSecond, int activeLong, int refusedLong) {}

    /** Returns the digest of an instance without demand. */
    public static DemandDigest empty() {
        return new DemandDigest(List.of());
    }

    Entry of(LimitKey key) {
        for (Entry entry : entries) {
            if (entry.key().equals(key)) {
                return entry;
            }
        }
        return new Entry(key, 0, 0, 0, 0);
    }
}
