package org.jujuberouter.control;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * The time within which entries that the store has removed may be written again, as they may have expired only since the
 * store did not serve their writers.
 *
 * <p>That this instance loses the store is no sign of it: a connection may have failed while the store served all others, and
 * an entry that is removed meanwhile is gone. The grace is given after an outage only: if the store stated that it does not
 * serve, if it was not known to serve for so long that entries can have expired, or if it was restored from a copy. It counts
 * from the time at which the store is known to serve again, whoever has reached it.
 */
final class ExpiryGrace {
    /** Time within which live endpoints register again after an outage of the store, as specified by the platform. */
    private static final long REGISTRATION_MS = 1_900;

    /** An entry expires after three missed heartbeats; the last one may have been sent just before the outage. */
    private static final int MIN_OUTAGE_HEARTBEATS = 2;

    private final Ticker ticker;
    private final PeerReports peers;
    private final long minOutageNanos;
    private boolean reached;
    private boolean lost;
    private boolean refused;
    private long servedAt;
    private long lostAt;
    private boolean hadOutage;
    private long returnedAt;

    private ExpiryGrace(Ticker ticker, PeerReports peers, long heartbeatMs) {
        this.ticker = ticker;
        this.peers = peers;
        this.minOutageNanos = TimeUnit.MILLISECONDS.toNanos(MIN_OUTAGE_HEARTBEATS * heartbeatMs);
    }

    /**
     * Returns the grace before the store was reached.
     *
     * @param peers the reports of peers, recorded before they are handled here
     * @param heartbeatMs interval at which endpoints renew their entries
     */
    static ExpiryGrace of(Ticker ticker, PeerReports peers, long heartbeatMs) {
        return new ExpiryGrace(ticker, peers, heartbeatMs);
    }

    /** Records that the store has answered this instance. */
    void answered() {
        if (lost && refused) {
            returned(peers.reachedStoreSince(lostAt));
        }
        served(ticker.nanos());
        lost = false;
        refused = false;
    }

    /** Records that the store served a peer at the given time. */
    void servedPeer(long atNanos) {
        if (reached) {
            served(atNanos);
        }
    }

    private void served(long atNanos) {
        if (lost && atNanos - servedAt >= minOutageNanos) {
            returned(ticker.nanos());
        }
        servedAt = reached ? Math.max(servedAt, atNanos) : atNanos;
        reached = true;
    }

    /**
     * Records that a request to the store failed.
     *
     * @param byStore whether the store itself stated that it does not serve
     */
    void failed(boolean byStore) {
        if (reached && !lost) {
            lost = true;
            lostAt = ticker.nanos();
        }
        refused |= lost && byStore;
    }

    /** Records that the store was restored from a copy; its writers write again what the copy lacks. */
    void restored() {
        returned(ticker.nanos());
    }

    private void returned(long atNanos) {
        returnedAt = hadOutage ? Math.max(returnedAt, atNanos) : atNanos;
        hadOutage = true;
    }

    /** Returns the rest of the grace, in milliseconds; 0 if an entry that is removed now is gone. */
    long remainingMs() {
        long sinceReturnMs = TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - returnedAt);
        return hadOutage ? Math.max(0, REGISTRATION_MS - sinceReturnMs) : 0;
    }
}
