package org.jujuberouter.control;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/** What the latest reports of peers say of the store: whether it serves them, and since when. */
final class PeerReports {
    /** Time within which another peer that reaches the store reports again: one interval of queries and a margin. */
    private static final long OTHER_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final Ticker ticker;
    private final long maxAgeNanos;
    private boolean reachStore;
    private boolean reported;
    private long reportedAt;
    private long reachedSince;
    private long provedAt = Long.MIN_VALUE;

    private PeerReports(Ticker ticker, long maxAgeMs) {
        this.ticker = ticker;
        this.maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(maxAgeMs);
    }

    /** Returns the state before the first report; reports count up to the given age. */
    static PeerReports none(Ticker ticker, long maxAgeMs) {
        return new PeerReports(ticker, maxAgeMs);
    }

    /**
     * Records that a peer reaches the store and that its view was complete at the given time. Returns whether no peer
     * was known to reach it before.
     */
    boolean reachesStore(long viewNanos) {
        boolean isNew = !reachStore();
        if (isNew) {
            reachedSince = ticker.nanos();
        }
        provedAt = Math.max(provedAt, viewNanos);
        record(true);
        return isNew;
    }

    /** Records that a peer does not reach the store; another one may. */
    void lacksStore() {
        if (!reachStore || !isYoungerThan(OTHER_REPORT_NANOS)) {
            record(false);
        }
    }

    private void record(boolean reaches) {
        reachStore = reaches;
        reported = true;
        reportedAt = ticker.nanos();
    }

    private boolean isRecent() {
        return isYoungerThan(maxAgeNanos);
    }

    private boolean isYoungerThan(long nanos) {
        return reported && ticker.nanos() - reportedAt < nanos;
    }

    /** Returns whether a peer reaches the store. */
    boolean reachStore() {
        return reachStore && isRecent();
    }

    /** Returns whether peers do not reach the store. */
    boolean areWithoutStore() {
        return !reachStore && isRecent();
    }

    /**
     * Returns the time since which the store is known to serve: that at which this instance lost it if peers never did,
     * that at which the peers reported its return, or the present.
     */
    long reachedStoreSince(long lostAt) {
        boolean servedPeersSince = reachStore() && provedAt > lostAt;
        return servedPeersSince ? Math.max(lostAt, reachedSince) : ticker.nanos();
    }
}
