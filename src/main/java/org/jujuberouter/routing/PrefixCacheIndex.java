package org.jujuberouter.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which endpoints are believed to hold which prefix blocks.
 *
 * <p>A belief comes from a cache event or from this instance's own sending. It ends by an event, after a fixed life, and
 * soon after a gap in the endpoint's events, since the lost event may have been the eviction. Only landmark blocks are
 * kept, the least recently used entry is dropped first, and an entry holds at most eight endpoints.
 */
final class PrefixCacheIndex {
    /** Endpoints remembered for a block. */
    static final int MAX_HOLDERS = 8;

    private final Map<Long, Holders> entries;
    private final long lifeNanos;
    private final long lifeAfterGapNanos;

    PrefixCacheIndex(RoutingSettings settings) {
        this.lifeNanos = settings.beliefLife().toNanos();
        this.lifeAfterGapNanos = settings.beliefLifeAfterGap().toNanos();
        int max = settings.maxBeliefs();
        this.entries = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
                return size() > max;
            }
        };
    }

    void learn(TrackedEndpoint endpoint, long[] blocks, long now) {
        for (long block : blocks) {
            if (PromptBlocks.isLandmark(block)) {
                entries.computeIfAbsent(block, b -> new Holders()).add(endpoint, now);
            }
        }
    }

    void forget(TrackedEndpoint endpoint, long[] blocks) {
        for (long block : blocks) {
            Holders entry = entries.get(block);
            if (entry != null && entry.remove(endpoint)) {
                entries.remove(block);
            }
        }
    }

    /**
     * Reports the believed holders to the visitor, those of the longest prefix first, until it has enough.
     *
     * <p>A block with the most holders is skipped: it belongs to a prefix that many endpoints have or soon will have, and
     * all instances would choose among the few that they remember.
     *
     * @param start decides with which holder of a block to begin, so that instances do not all prefer the same one
     */
    void visitHolders(long[] chain, long now, int start, HolderVisitor visitor) {
        for (int i = chain.length - 1; i >= 0; i--) {
            Holders entry = PromptBlocks.isLandmark(chain[i]) ? entries.get(chain[i]) : null;
            if (entry == null || entry.size == MAX_HOLDERS) {
                continue;
            }
            for (int k = 0; k < entry.size; k++) {
                int h = (start + k) % entry.size;
                if (isAlive(entry, h, now) && !visitor.visit(entry.holders[h], i + 1)) {
                    return;
                }
            }
        }
    }

    /** Returns how many leading blocks the endpoint is believed to hold. */
    int blocksAt(TrackedEndpoint endpoint, long[] chain, long now) {
        for (int i = chain.length - 1; i >= 0; i--) {
            Holders entry = PromptBlocks.isLandmark(chain[i]) ? entries.get(chain[i]) : null;
            int h = entry == null ? -1 : entry.indexOf(endpoint);
            if (h >= 0 && isAlive(entry, h, now)) {
                return i + 1;
            }
        }
        return 0;
    }

    int size() {
        return entries.size();
    }

    private boolean isAlive(Holders entry, int h, long now) {
        TrackedEndpoint endpoint = entry.holders[h];
        long learned = entry.learnedNanos[h];
        if (entry.generations[h] != endpoint.cacheGeneration || now - learned > lifeNanos) {
            return false;
        }
        return learned > endpoint.gapNanos || now - endpoint.gapNanos <= lifeAfterGapNanos;
    }

    /** Receives holders of a prefix. */
    @FunctionalInterface
    interface HolderVisitor {
        /** Takes a holder of the given number of leading blocks; returns false to stop. */
        boolean visit(TrackedEndpoint holder, int blocks);
    }

    private static final class Holders {
        private final TrackedEndpoint[] holders = new TrackedEndpoint[MAX_HOLDERS];
        private final long[] learnedNanos = new long[MAX_HOLDERS];
        private final int[] generations = new int[MAX_HOLDERS];
        private int size;

        void add(TrackedEndpoint endpoint, long now) {
            int slot = indexOf(endpoint);
            if (slot < 0) {
                slot = size < MAX_HOLDERS ? size++ : oldest();
            }
            holders[slot] = endpoint;
            learnedNanos[slot] = now;
            generations[slot] = endpoint.cacheGeneration;
        }

        boolean remove(TrackedEndpoint endpoint) {
            int slot = indexOf(endpoint);
            if (slot >= 0) {
                size--;
                holders[slot] = holders[size];
                learnedNanos[slot] = learnedNanos[size];
                generations[slot] = generations[size];
                holders[size] = null;
            }
            return size == 0;
        }

        private int indexOf(TrackedEndpoint endpoint) {
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
                if (learnedNanos[i] < learnedNanos[oldest]) {
                    oldest = i;
                }
            }
            return oldest;
        }
    }
}
