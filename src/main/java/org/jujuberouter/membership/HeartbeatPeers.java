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
 * Selects the instances to which an instance sends heartbeats.
 *
 * <p>Up to {@link #FANOUT} instances, each sends to all others. With more, each sends to its successor in name order
 * and to the instances with the highest rendezvous hash. The successor links form a ring, which keeps the graph
 * connected independently of the hash; the hashed links keep the paths short.
 */
final class HeartbeatPeers {
    /**
     * Maximum number of peers to which an instance sends heartbeats, and the fleet size up to which it sends to all.
     */
    static final int FANOUT = 16;

    private HeartbeatPeers() {}

    /** Returns the peers to which an instance sends heartbeats; {@code all} may contain the instance itself. */
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

    /** Returns the instances that send heartbeats to the given one. */
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
