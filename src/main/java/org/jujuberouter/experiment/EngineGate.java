package org.jujuberouter.experiment;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.jujuberouter.routing.PromptSize;
import org.jujuberouter.routing.RoutingSettings;

/**
 * What the owner of an engine admits, in the simplest form that keeps the engine from falling over.
 *
 * <p>With lanes one long prompt is processed at a time, long prompts use at most 60 in 100 of the memory, and a fifth of
 * the memory and a quarter of the places stay reserved for short prompts. Without lanes the order of arrival counts.
 */
final class EngineGate {
    /** 64 answers take 37 ms a step, below the target of 43 ms between tokens. */
    static final int MAX_REQUESTS = 64;

    private static final double NOT_SHORT_MEMORY = 0.8;
    private static final double NOT_SHORT_PLACES = 0.75;

    private final long kvTokens;
    private final boolean lanes;
    private final List<Entry> waiting = new ArrayList<>();
    private final int[] places = new int[PromptSize.values().length];
    private final long[] memory = new long[PromptSize.values().length];
    private int longPrefills;

    /** A request at the gate. */
    static final class Entry {
        private final PromptSize lane;
        private final long neededTokens;
        private final long promptTokens;
        private final Runnable start;

        Entry(long promptTokens, long neededTokens, Runnable start) {
            this.lane = PromptSize.ofPrompt(promptTokens);
            this.promptTokens = promptTokens;
            this.neededTokens = neededTokens;
            this.start = start;
        }
    }

    EngineGate(long kvTokens, boolean lanes) {
        this.kvTokens = kvTokens;
        this.lanes = lanes;
    }

    boolean tryStart(Entry entry) {
        boolean overtakes = waiting.stream().anyMatch(w -> !lanes || w.lane == entry.lane);
        if (overtakes || !admits(entry)) {
            return false;
        }
        admit(entry);
        return true;
    }

    void await(Entry entry) {
        waiting.add(entry);
    }

    void prefilled(Entry entry) {
        if (entry.lane == PromptSize.LONG) {
            longPrefills--;
            startWaiting();
        }
    }

    void ended(Entry entry) {
        places[entry.lane.ordinal()]--;
        memory[entry.lane.ordinal()] -= entry.neededTokens;
        startWaiting();
    }

    int waitingRequests() {
        return waiting.size();
    }

    long waitingTokens(PromptSize lane) {
        return waiting.stream()
                .filter(w -> w.lane == lane)
                .mapToLong(w -> w.promptTokens)
                .sum();
    }

    private void startWaiting() {
        for (PromptSize lane : PromptSize.values()) {
            Iterator<Entry> queue = waiting.iterator();
            while (queue.hasNext()) {
                Entry entry = queue.next();
                if (lanes && entry.lane != lane) {
                    continue;
                }
                if (!admits(entry)) {
                    break;
                }
                queue.remove();
                admit(entry);
            }
        }
    }

    private void admit(Entry entry) {
        places[entry.lane.ordinal()]++;
        memory[entry.lane.ordinal()] += entry.neededTokens;
        if (entry.lane == PromptSize.LONG) {
            longPrefills++;
        }
        entry.start.run();
    }

    private boolean admits(Entry entry) {
        int others = places[PromptSize.MEDIUM.ordinal()] + places[PromptSize.LONG.ordinal()];
        long otherMemory = memory[PromptSize.MEDIUM.ordinal()] + memory[PromptSize.LONG.ordinal()];
        long all = otherMemory + memory[PromptSize.SHORT.ordinal()] + entry.neededTokens;
        if (others + places[PromptSize.SHORT.ordinal()] >= MAX_REQUESTS || all > kvTokens) {
            return false;
        }
        if (!lanes || entry.lane == PromptSize.SHORT) {
            return true;
        }
        if (others >= MAX_REQUESTS * NOT_SHORT_PLACES
                || otherMemory + entry.neededTokens > kvTokens * NOT_SHORT_MEMORY) {
            return false;
        }
        return entry.lane == PromptSize.MEDIUM
                || (longPrefills == 0
                        && memory[PromptSize.LONG.ordinal()] + entry.neededTokens
                                <= kvTokens * RoutingSettings.LONG_MEMORY_SHARE);
    }
}
