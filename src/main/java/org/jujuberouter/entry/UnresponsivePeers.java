package org.jujuberouter.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/** Remembers for a while which peers did not answer, so that a frozen one delays few requests. */
final class UnresponsivePeers {
    private final Ticker ticker;
    private final long periodNanos;
    private final Map<InstanceId, Long> untilNanos = new ConcurrentHashMap<>();

    private UnresponsivePeers(Ticker ticker, Duration time) {
        this.ticker = ticker;
        this.periodNanos = time.toNanos();
    }

    /** Returns an empty memory that keeps each peer for the given time. */
    static UnresponsivePeers of(Ticker ticker, Duration time) {
        return new UnresponsivePeers(ticker, time);
    }

    /** Notes that the peer did not answer. */
    void add(InstanceId peer) {
        untilNanos.put(peer, ticker.nanos() + periodNanos);
    }

    /** Tells whether the peer did not answer a short time ago. */
    boolean contains(InstanceId peer) {
        Long end = untilNanos.get(peer);
        return end != null && ticker.nanos() - end < 0;
    }
}
