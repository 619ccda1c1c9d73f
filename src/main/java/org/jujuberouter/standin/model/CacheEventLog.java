package org.jujuberouter.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The cache events of an engine: late, with gaps and in a bounded log. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 4096;

    private final ArrayDeque<CacheEvent> events = new ArrayDeque<>();
    private final SplittableRandom random;
    private final long delayNanos;
    private final double loss;
    private long next = 1;

    CacheEventLog(EngineSettings settings) {
        this.random = new SplittableRandom(settings.seed());
        this.delayNanos = settings.cacheEventDelay().toNanos();
        this.loss = settings.cacheEventLoss();
    }

    void add(long now, CacheEvent.Kind kind, long[] blocks) {
        long sequence = next++;
        if (random.nextDouble() < loss) {
            return;
        }
        events.addLast(new CacheEvent(sequence, now, kind, blocks));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    List<CacheEvent> after(long now, long sequence) {
        List<CacheEvent> found = new ArrayList<>();
        var newest = events.descendingIterator();
        while (newest.hasNext()) {
            CacheEvent event = newest.next();
            if (event.sequence() <= sequence) {
                break;
            }
            if (event.takenNanos() + delayNanos <= now) {
                found.add(event);
            }
        }
        return found.reversed();
    }
}
