package org.jujuberouter.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An approximate index of the prefix blocks that endpoints have cached.
 *
 * <p>An endpoint is recorded for a block after a cache event or after this instance sent it a prompt. The record is
 * removed by an eviction event, expires after a fixed time, and expires earlier after a gap in the endpoint's events,
 * since the lost event may have been the eviction. Only sampled blocks are indexed, the least recently used block is
 * evicted first, and at most eight endpoints are recorded for a block.
 */
final class PrefixCacheIndex {
    /** Most endpoints that are recorded for one block. */
    static final int MAX_HOLDERS = 8;

    private final Map<Long, Holders> entries;
    private final long ttlNanos;
    private final long ttlAfterGapNanos;

    PrefixCacheIndex(RoutingSettings settings) {
        this.ttlNanos = settings.cacheEntryTtl().toNanos();
        this.ttlAfterGapNanos = settings.cacheEntryTtlAfterGap().toNanos();
        int max = settings.maxCacheEntries();
        this.entries = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
                return size() > max;
            }
        };
    }

    void add(CandidateEndpoint endpoint, long[] blocks, long now) {
        for (long block : blocks) {
            if (PromptBlocks.isSampled(block)) {
                entries.computeIfAbsent(block, b -> new Holders()).add(endpoint, now);
            }
        }
    }

    void remove(CandidateEndpoint endpoint, long[] blocks) {
        for (long block : blocks) {
            Holders entry = entries.get(block);
            if (entry != null && entry.remove(endpoint)) {
                entries.remove(block);
            }
        }
    }

    /**
     * Passes the recorded holders to the visitor, those of the longest prefix first, until the visitor stops.
     *
     * <p>A block with {@link #MAX_HOLDERS} holders is skipped: its prefix is or soon will be cached at many endpoints,
     * and all instances would concentrate its requests on the few that are recorded.
     *
     * @param start selects the holder of a block to begin with, so that instances do not all prefer the same one
     */
    void visitHolders(long[] chain, long now, int start, HolderVisitor visitor) {
        for (int i = chain.length - 1; i >= 0; i--) {
            Holders entry = PromptBlocks.isSampled(chain[i]) ? entries.get(chain[i]) : null;
            if (entry == null || entry.size == MAX_HOLDERS) {
                continue;
            }
            for (int k = 0; k < entry.size; k++) {
                int h = (start + k) % entry.size;
                if (isValid(entry, h, now) && !visitor.visit(entry.holders[h], i + 1)) {
                    return;
                }
            }
        }
    }

    /** Returns how many leading blocks the endpoint has cached according to the index. */
    int cachedBlocks(CandidateEndpoint endpoint, long[] chain, long now) {
        for (int i = chain.length - 1; i >= 0; i--) {
            Holders entry = PromptBlocks.isSampled(chain[i]) ? entries.get(chain[i]) : null;
            int h = entry == null ? -1 : entry.indexOf(endpoint);
            if (h >= 0 && isValid(entry, h, now)) {
                return i + 1;
            }
        }
        return 0;
    }

    int size() {
        return entries.size();
    }

    private boolean isValid(Holders entry, int h, long now) {
        CandidateEndpoint endpoint = entry.holders[h];
        long recorded = entry.recordedNanos[h];
        if (entry.generations[h] != endpoint.cacheGeneration || now - recorded > ttlNanos) {
            return false;
        }
        return recorded > endpoint.lastGapNanos || now - endpoint.lastGapNanos <= ttlAfterGapNanos;
    }

    /** Receives the endpoints that hold a prefix. */
    @FunctionalInterface
    interface HolderVisitor {
        /** Visits a holder of the given number of leading blocks; returns false to stop. */
        boolean visit(CandidateEndpoint holder, int blocks);
    }

    private static final class Holders {
        private final CandidateEndpoint[] holders = new CandidateEndpoint[MAX_HOLDERS];
        private final long[] recordedNanos = new long[MAX_HOLDERS];
        private final int[] generations = new int[MAX_HOLDERS];
        private int size;

        void add(CandidateEndpoint endpoint, long now) {
            int slot = indexOf(endpoint);
            if (slot < 0) {
                slot = size < MAX_HOLDERS ? size++ : oldest();
            }
            holders[slot] = endpoint;
            recordedNanos[slot] = now;
            generations[slot] = endpoint.cacheGeneration;
        }

        boolean remove(CandidateEndpoint endpoint) {
            int slot = indexOf(endpoint);
            if (slot >= 0) {
                size--;
                holders[slot] = holders[size];
                recordedNanos[slot] = recordedNanos[size];
                generations[slot] = generations[size];
                holders[size] = null;
            }
            return size == 0;
        }

        private int indexOf(CandidateEndpoint endpoint) {
            for (int i = 0; i < size; i++) {
                if (holders[i] == endpoint) {
                    return i;
                }
            }
            return -1;
        }

        private int oldest() {
            int oldest = 0;
            for (int i = 1; i < size; i++) {
                if (recordedNanos[i] < recordedNanos[oldest]) {
                    oldest = i;
                }
            }
            return oldest;
        }
    }
}
