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
import org.jujuberouter.misc.Rendezvous;

/**
 * This instance's share of a limit.
 *
 * <p>Rates: of n instances each gets 1/4n, and three quarters are split by demand. An instance counts its own demand with
 * the lowest and that of others with the highest of the last three digests. Whatever the order in which heartbeats
 * arrive, nobody then counts more for itself than the others count for it, so the shares add up to at most one.
 *
 * <p>Long prompts: a limit of few slots cannot be split in fractions. Each slot belongs to the member with the highest
 * rendezvous hash among those that run or want a long prompt, or among all if none does. An instance uses a slot only if
 * the digests of the others leave it free, and counts itself as wanting only after three digests of its own. By then the
 * former holder of the slot has heard of it, and has announced what it had started before.
 */
final class LimitShares {
    /** Above this number heartbeats do not reach all members, so that the demand is not known and shares are equal. */
    static final int MAX_COMPLETE_VIEW = 17;

    private static final double EQUAL_PART = 0.25;

    private final InstanceId self;
    private final PeerDemand own = new PeerDemand();
    private final Map<InstanceId, PeerDemand> peers = new HashMap<>();
    private Set<InstanceId> members;

    LimitShares(InstanceId self) {
        this.self = self;
        this.members = Set.of(self);
    }

    void setMembers(Set<InstanceId> newMembers) {
        Set<InstanceId> all = new HashSet<>(newMembers);
        all.add(self);
        members = all;
        peers.keySet().retainAll(all);
    }

    void announced(DemandDigest digest) {
        own.add(digest);
    }

    void receive(InstanceId peer, DemandDigest digest) {
        if (!peer.equals(self) && members.contains(peer)) {
            peers.computeIfAbsent(peer, p -> new PeerDemand()).add(digest);
        }
    }

    boolean announcesDemand() {
        return members.size() <= MAX_COMPLETE_VIEW;
    }

    double shareOf(LimitKey key, ToDoubleFunction<Entry> demand) {
        int n = members.size();
        if (n == 1) {
            return 1;
        }
        if (!announcesDemand()) {
            return 1.0 / n;
        }
        double mine = own.lowest(key, demand);
        double total = mine;
        for (PeerDemand peer : peers.values()) {
            total += peer.highest(key, demand);
        }
        return EQUAL_PART / n + (total > 0 ? (1 - EQUAL_PART) * mine / total : 0);
    }

    /** Tells whether one more long prompt may start here while {@code active} run here. */
    boolean mayStartLong(LimitKey key, int limit, int active) {
        if (members.size() > 1 && !own.isComplete()) {
            return false;
        }
        double elsewhere = 0;
        for (PeerDemand peer : peers.values()) {
            elsewhere += peer.highest(key, Entry::activeLong);
        }
        return elsewhere + active < limit && active < ownedSlots(key, limit);
    }

    private int ownedSlots(LimitKey key, int limit) {
        ToDoubleFunction<Entry> interest = e -> e.activeLong() + e.refusedLong();
        List<InstanceId> candidates = new ArrayList<>();
        if (own.lowest(key, interest) > 0) {
            candidates.add(self);
        }
        peers.forEach((id, peer) -> {
            if (peer.highest(key, interest) > 0) {
                candidates.add(id);
            }
        });
        List<InstanceId> owners = candidates.isEmpty() ? List.copyOf(members) : candidates;
        int owned = 0;
        for (int slot = 0; slot < limit; slot++) {
            if (Rendezvous.first(key + "/" + slot, owners).orElseThrow().equals(self)) {
                owned++;
            }
        }
        return owned;
    }
}
