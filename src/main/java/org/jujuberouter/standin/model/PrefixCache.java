package org.jujuberouter.standin.model;

import java.util.Arrays;
import java.util.LinkedHashMap;

/**
 * The prefix cache: the least recently used block is evicted first.
 *
 * <p>A chain is touched from its end to its start, so that the end is evicted first; a chain without its start is useless.
 */
final class PrefixCache {
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final long capacity;
    private final CacheEventLog log;

    PrefixCache(long capacity, CacheEventLog log) {
        this.capacity = capacity;
        this.log = log;
    }

    /** Returns the number of leading blocks that are cached. */
    int match(long[] chain) {
        int hit = 0;
        while (hit < chain.length && blocks.containsKey(chain[hit])) {
            hit++;
        }
        touch(chain, hit);
        return hit;
    }

    /** Stores the blocks from {@code from} to {@code to} of a chain. */
    void store(long now, long[] chain, int from, int to) {
        int end = Math.min(to, chain.length);
        if (from >= end) {
            return;
        }
        int added = 0;
        long[] fresh = new long[end - from];
        for (int i = from; i < end; i++) {
            if (blocks.put(chain[i], true) == null) {
                fresh[added++] = chain[i];
            }
        }
        touch(chain, end);
        evict(now);
        if (added > 0) {
            log.add(now, CacheEvent.Kind.STORED, Arrays.copyOf(fresh, added));
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
        int surplus = (int) Math.max(0, blocks.size() - capacity);
        if (surplus == 0) {
            return;
        }
        long[] gone = new long[surplus];
        var eldest = blocks.keySet().iterator();
        for (int i = 0; i < surplus; i++) {
            gone[i] = eldest.next();
            eldest.remove();
        }
        log.add(now, CacheEvent.Kind.EVICTED, gone);
    }
}
