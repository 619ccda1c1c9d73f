package org.jujuberouter.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.RendezvousHash;

/**
 * Selects the instances to which heartbeats go.
 *
 * <p>Up to {@link #FANOUT} instances, everyone sends to everyone. Above, each sends to its successor in name order and to
 * the highest scores of a rendezvous hash. The successor links form a ring, so the graph is connected whatever the hash
 * gives; the hashed links keep the paths short.
 */
final class HeartbeatPeers {
    /** The largest number of peers that get a heartbeat; also the fleet size up to which all do. */
    static final int FANOUT = 16;

    private HeartbeatPeers() {}

    /** Returns the peers of one instance; {@code all} may contain the instance itself. */
    static Set<InstanceId> select(InstanceId self, Collection<InstanceId> all) {
        NavigableSet<InstanceId> others = new TreeSet<>(all);
        others.remove(self);
        if (others.size() < FANOUT) {
            return others;
        }
        InstanceId next = others.higher(self);
        Set<InstanceId> chosen = new LinkedHashSet<>();
        chosen.add(next == null ? others.first() : next);
        for (InstanceId peer : RendezvousHash.rank(self.value(), others)) {
            if (chosen.size() == FANOUT) {
                break;
            }
            chosen.add(peer);
        }
        return chosen;
    }

    /** Returns the instances whose selection contains the given one. */
    static Set<InstanceId> senders(InstanceId self, Collection<InstanceId> all) {
        List<InstanceId> senders = new ArrayList<>();
        for (InstanceId other : all) {
            if (!other.equals(self)
                    && (all.size() <= FANOUT || select(other, all).contains(self))) {
                senders.add(other);
            }
        }
        return Set.copyOf(senders);
    }
}
