package org.jujuberouter.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Bounded log of cache events that loses a share of the events and delays the others. */
final class CacheEventLog {
    private static final int MAX_EVENTS = 4096;

    private final ArrayDeque<CacheEvent> events = new ArrayDeque<>();
    private final SplittableRandom random;
    private final long delayNanos;
    private final double loss;
    private long nextSequence = 1;

    CacheEventLog(EngineSettings settings) {
        this.random = new SplittableRandom(settings.seed());
        this.delayNanos = settings.cacheEventDelay().toNanos();
        this.loss = settings.cacheEventLoss();
    }

    void add(long now, CacheEvent.Kind kind, long[] blocks) {
        long sequence = nextSequence++;
        if (random.nextDouble() < loss) {
            return;
        }
        events.addLast(new CacheEvent(sequence, now, kind, blocks));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns the events after a sequence number whose delay has passed, oldest first. */
    List<CacheEvent> readableAfter(long now, long sequence) {
        List<CacheEvent> readable = new ArrayList<>();
        var newestFirst = events.descendingIterator();
        while (newestFirst.hasNext()) {
            CacheEvent event = newestFirst.next();
            if (event.sequence() <= sequence) {
                break;
            }
            if (event.occurredNanos() + delayNanos <= now) {
                readable.add(event);
            }
        }
        return readable.reversed();
    }
}
