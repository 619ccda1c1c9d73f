package org.jujuberouter.entry;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/** Peers that recently did not reply; skipping them for a while limits how many requests a hung peer delays. */
final class UnresponsivePeers {
    private final Ticker ticker;
    private final long periodNanos;
    private final Map<InstanceId, Long> untilNanos = new ConcurrentHashMap<>();

    private UnresponsivePeers(Ticker ticker, Duration period) {
        this.ticker = ticker;
        this.periodNanos = period.toNanos();
    }

    /** Returns an empty set in which each peer stays for the given period. */
    static UnresponsivePeers of(Ticker ticker, Duration period) {
        return new UnresponsivePeers(ticker, period);
    }

    /** Adds a peer that did not reply. */
    void add(InstanceId peer) {
        untilNanos.put(peer, ticker.nanos() + periodNanos);
    }

    /** Returns whether the peer recently did not reply. */
    boolean contains(InstanceId peer) {
        Long until = untilNanos.get(peer);
        return until != null && ticker.nanos() - until < 0;
    }
}
