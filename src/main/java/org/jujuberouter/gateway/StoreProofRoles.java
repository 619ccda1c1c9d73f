package org.jujuberouter.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/**
 * Decides which instances of a group prove the view of the store for the others and whom this instance asks.
 *
 * <p>The candidates are the first instances of the group by name that are connected, so there is nothing to elect. In a
 * small fleet both prove. In a larger one the second is a standby: it asks the first like all others and proves only
 * while the first gives no usable report. If two instances see different candidates, the store is asked more often than
 * needed.
 */
final class StoreProofRoles {
    /** Number of candidates; one of them may fail. */
    private static final int CANDIDATES = 2;

    private static final long QUERY_INTERVAL_MS = 500;

    /**
     * Interval of queries while neither this instance nor its peers reach the store. With the retry delay of the
     * proving instance, the return of the store is noticed within 0.5 s.
     */
    private static final long OUTAGE_QUERY_INTERVAL_MS = 150;

    /** Time without a usable report after which the second candidate is asked and proves; one report was missed. */
    private static final long TAKEOVER_MS = 750;

    /** Age of a reported view above which the reporter seems cut off; watches of 0.6 s and a slow store give 1.5 s. */
    private static final long MAX_USABLE_AGE_MS = 1_900;

    private final InstanceId self;
    private final Ticker ticker;
    private List<InstanceId> candidates = List.of();
    private boolean alone = true;
    private boolean smallFleet = true;
    private int queries;
    private Optional<Long> answeredAt = Optional.empty();
    private Optional<Long> usableAt = Optional.empty();

    private StoreProofRoles(InstanceId self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
        this.candidates = List.of(self);
    }

    /** Returns the roles as an instance without peers sees them. */
    static StoreProofRoles of(InstanceId self, Ticker ticker) {
        return new StoreProofRoles(self, ticker);
    }

    /** Sets the connected peers of the group and the number of instances in the fleet. */
    void setConnected(Stream<InstanceId> peers, int fleetSize) {
        List<InstanceId> selected =
                Stream.concat(Stream.of(self), peers).sorted().limit(CANDIDATES).toList();
        if (!selected.getFirst().equals(candidates.getFirst())) {
            answeredAt = Optional.empty();
            usableAt = Optional.empty();
        }
        candidates = selected;
        alone = selected.size() == 1;
        smallFleet = fleetSize <= StoreWatcher.MAX_SMALL_FLEET;
    }

    /** Returns whether others may ask this instance, also while it does not reach the store. */
    boolean isCandidate() {
        return candidates.contains(self);
    }

    /** Returns the instances to ask for the age of their view. */
    List<InstanceId> toAsk() {
        if (smallFleet) {
            return isCandidate() ? List.of() : List.of(candidates.get(queries++ % candidates.size()));
        }
        List<InstanceId> asked = new ArrayList<>(CANDIDATES);
        for (InstanceId candidate : candidates) {
            if (candidate.equals(self)) {
                break;
            }
            asked.add(candidate);
            if (isRecent(usableAt)) {
                break;
            }
        }
        return asked;
    }

    /** Handles a report of a peer. */
    void onReport(InstanceId from, PeerMessage.ContactReport report) {
        if (from.equals(candidates.getFirst())) {
            answeredAt = Optional.of(ticker.nanos());
            if (report.position().isKnown() && report.viewAgeMillis() <= MAX_USABLE_AGE_MS) {
                usableAt = answeredAt;
            }
        }
    }

    /**
     * Returns whether this instance proves the view for others. While neither candidate reaches the store, the first
     * one alone tries to.
     */
    boolean proves(boolean reachesStore) {
        if (alone || !isCandidate()) {
            return false;
        }
        if (smallFleet || candidates.getFirst().equals(self)) {
            return true;
        }
        return !isRecent(usableAt) && (reachesStore || !isRecent(answeredAt));
    }

    /** Returns the time until the next query. */
    static long queryIntervalMs(boolean awaitsStoreOfPeers) {
        return awaitsStoreOfPeers ? OUTAGE_QUERY_INTERVAL_MS : QUERY_INTERVAL_MS;
    }

    private boolean isRecent(Optional<Long> atNanos) {
        return atNanos.isPresent() && ticker.nanos() - atNanos.get() < TimeUnit.MILLISECONDS.toNanos(TAKEOVER_MS);
    }
}
