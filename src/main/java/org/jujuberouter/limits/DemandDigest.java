package org.jujuberouter.limits;

import java.util.List;

/**
 * The demand at one instance, sent with its heartbeats.
 *
 * @param entries the customers with the greatest demand; customers without an entry count as having none
 */
public record DemandDigest(List<Entry> entries) {
    /** Maximum number of entries; 16 of about 24 bytes, sent to 7 peers once a second, are 2.7 KB/s. */
    public static final int MAX_ENTRIES = 16;

    /** Makes a defensive copy and rejects too many entries. */
    public DemandDigest {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(
                    "demand digest has " + entries.size() + " entries; the limit is " + MAX_ENTRIES);
        }
    }

    /**
     * The demand of one customer.
     *
     * @param key the customer and service
     * @param requestsPerSecond the requests that arrived, including refused ones
     * @param tokensPerSecond the tokens of the requests that arrived
     * @param activeLong the number of active long prompts
     * @param refusedLong the number of long prompts refused in the last two intervals
     */
    public record Entry(
            LimitKey key, double requestsPerSecond, double tokensPerSecond, int activeLong, int refusedLong) {}

    /** Returns the digest of an instance without demand. */
    public static DemandDigest empty() {
        return new DemandDigest(List.of());
    }

    Entry entryFor(LimitKey key) {
        for (Entry entry : entries) {
            if (entry.key().equals(key)) {
                return entry;
            }
        }
        return new Entry(key, 0, 0, 0, 0);
    }
}
