package org.jujuberouter.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.limits.DemandDigest.Entry;
import org.jujuberouter.misc.RendezvousHash;

/**
 * Computes this instance's share of a limit.
 *
 * <p>Rates: each of n instances gets 1/(4n), and three quarters are split by demand. An instance counts the lowest of
 * its own last three digests and the highest of the last three digests of each other instance. In whatever order
 * heartbeats arrive, no instance then counts more demand for itself than the others count for it, so the shares add up
 * to at most one.
 *
 * <p>Long prompts: a limit of a few slots cannot be split into fractions. Each slot belongs to the member with the
 * highest rendezvous hash among those with active or recently refused long prompts, or among all members if there are
 * none. An instance uses a slot only if it is free according to the digests of the others, and becomes a candidate only
 * after three digests of its own. By then the previous owner of the slot has received them, and has announced the
 * prompts that it had started before.
 */
final class LimitShares {
    /**
     * Number of members above which heartbeats do not reach all of them, so that the demand is unknown and shares are
     * equal.
     */
    static final int MAX_COMPLETE_VIEW = 17;

    private static final double EQUAL_FRACTION = 0.25;

    private final InstanceId self;
    private final DemandHistory ownHistory = new DemandHistory();
    private final Map<InstanceId, DemandHistory> peerHistories = new HashMap<>();
    private Set<InstanceId> members;

    LimitShares(InstanceId self) {
        this.self = self;
        this.members = Set.of(self);
    }

    void setMembers(Set<InstanceId> newMembers) {
        Set<InstanceId> all = new HashSet<>(newMembers);
        all.add(self);
        members = all;
        peerHistories.keySet().retainAll(all);
    }

    void recordOwn(DemandDigest digest) {
        ownHistory.add(digest);
    }

    void receive(InstanceId peer, DemandDigest digest) {
        if (!peer.equals(self) && members.contains(peer)) {
            peerHistories.computeIfAbsent(peer, _ -> new DemandHistory()).add(digest);
        }
    }

    boolean splitsByDemand() {
        return members.size() <= MAX_COMPLETE_VIEW;
    }

    double shareOf(LimitKey key, ToDoubleFunction<Entry> demand) {
        int n = members.size();
        if (n == 1) {
            return 1;
        }
        if (!splitsByDemand()) {
            return 1.0 / n;
        }
        double ownDemand = ownHistory.lowest(key, demand);
        double total = ownDemand;
        for (DemandHistory history : peerHistories.values()) {
            total += history.highest(key, demand);
        }
        return EQUAL_FRACTION / n + (total > 0 ? (1 - EQUAL_FRACTION) * ownDemand / total : 0);
    }

    /** Returns whether a further long prompt may start at this instance while {@code active} ones run here. */
    boolean mayStartLong(LimitKey key, int limit, int active) {
        if (members.size() > 1 && !ownHistory.isComplete()) {
            return false;
        }
        double activeOnPeers = 0;
        for (DemandHistory history : peerHistories.values()) {
            activeOnPeers += history.highest(key, Entry::activeLong);
        }
        return activeOnPeers + active < limit && active < ownedSlots(key, limit);
    }

    private int ownedSlots(LimitKey key, int limit) {
        ToDoubleFunction<Entry> interest = e -> e.activeLong() + e.refusedLong();
        List<InstanceId> candidates = new ArrayList<>();
        if (ownHistory.lowest(key, interest) > 0) {
            candidates.add(self);
        }
        peerHistories.forEach((id, history) -> {
            if (history.highest(key, interest) > 0) {
                candidates.add(id);
            }
        });
        List<InstanceId> owners = candidates.isEmpty() ? List.copyOf(members) : candidates;
        int owned = 0;
        for (int slot = 0; slot < limit; slot++) {
            if (RendezvousHash.select(key + "/" + slot, owners).orElseThrow().equals(self)) {
                owned++;
            }
        }
        return owned;
    }
}
