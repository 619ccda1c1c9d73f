package org.jujuberouter.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/** Remembers for a while which peers did not answer, so that a frozen one delays few requests. */
final class SilentPeers {
    private final Ticker ticker;
    private final long nanos;
    private final Map<InstanceId, Long> until = new ConcurrentHashMap<>();

    private SilentPeers(Ticker ticker, Duration time) {
        this.ticker = ticker;
        this.nanos = time.toNanos();
    }

    /** Returns an empty memory that keeps each peer for the given time. */
    static SilentPeers of(Ticker ticker, Duration time) {
        return new SilentPeers(ticker, time);
    }

    /** Notes that the peer did not answer. */
    void note(InstanceId peer) {
        until.put(peer, ticker.nanos() + nanos);
    }

    /** Tells whether the peer did not answer a short time ago. */
    boolean contains(InstanceId peer) {
        Long end = until.get(peer);
        return end != null && ticker.nanos() - end < 0;
    }
}
