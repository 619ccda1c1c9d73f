package org.jujuberouter.standin.model;

import java.util.Arrays;
import java.util.LinkedHashMap;

/**
 * A prefix cache that evicts the least recently used block.
 *
 * <p>The blocks of a chain are touched from the last to the first, so that the last is evicted first: a block is
 * useless without those before it.
 */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final long capacity;
    private final CacheEventLog log;

    PrefixCache(long capacity, CacheEventLog log) {
        this.capacity = capacity;
        this.log = log;
    }

    /** Returns the number of leading blocks of a chain that are cached, and touches them. */
    int match(long[] chain) {
        int matched = 0;
        while (matched < chain.length && blocks.containsKey(chain[matched])) {
            matched++;
        }
        touch(chain, matched);
        return matched;
    }

    /** Stores the blocks of a chain from index {@code from}, inclusive, to {@code to}, exclusive. */
    void store(long now, long[] chain, int from, int to) {
        int end = Math.min(to, chain.length);
        if (from >= end) {
            return;
        }
        int added = 0;
        long[] stored = new long[end - from];
        for (int i = from; i < end; i++) {
            if (blocks.put(chain[i], true) == null) {
                stored[added++] = chain[i];
            }
        }
        touch(chain, end);
        evict(now);
        if (added > 0) {
            log.add(now, CacheEvent.Kind.STORED, Arrays.copyOf(stored, added));
        }
    }

    void clear(long now) {
        blocks.clear();
        log.add(now, CacheEvent.Kind.CLEARED, new long[0]);
    }

    private void touch(long[] chain, int length) {
        for (int i = length - 1; i >= 0; i--) {
            blocks.get(chain[i]);
        }
    }

    private void evict(long now) {
        int excess = (int) Math.max(0, blocks.size() - capacity);
        if (excess == 0) {
            return;
        }
        long[] evicted = new long[excess];
        var eldest = blocks.keySet().iterator();
        for (int i = 0; i < excess; i++) {
            evicted[i] = eldest.next();
            eldest.remove();
        }
        log.add(now, CacheEvent.Kind.EVICTED, evicted);
    }
}
