package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jujuberouter.dispatch.ShareGroups;
import org.jujuberouter.dispatch.Work;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerConnection;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerListener;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;

/**
 * Shares with the peers of its group what this instance placed, so that each chooses on the load of all of them.
 *
 * <p>A notice goes out with the request itself and arrives within the time that the request needs to its endpoint. Work of
 * a peer that is lost counts until the longest time that it can last; a peer that connects gets all that runs here.
 */
final class PeerShare implements PeerListener, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerShare.class.getName());

    private static final String GROUPS_OF_INSTANCES = "instances";

    /** Time after a change of the list in which further ones gather, for each instance listed. */
    private static final long REGROUP_MS_PER_INSTANCE = 4;

    /** Pause between two looks for work whose end was not heard of. */
    private static final long SWEEP_MS = 500;

    /** Age of the own view of the store above which peers are asked for theirs. */
    private static final long ASK_PEERS_AGE_MS = 2_500;

    private final Gateway gateway;
    private final EventLoop loop;
    private final Ticker ticker;
    private final InstanceId self;
    private final Map<RequestId, Placed> own = new HashMap<>();
    private final Map<RequestId, Placed> others = new LinkedHashMap<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
    private final Set<InstanceId> unlisted = new HashSet<>();
    private Set<InstanceId> members = Set.of();
    private int groupCount;
    private boolean regroupPlanned;
    private PeerNetwork network;

    private record Placed(InstanceId holder, long endsAt, List<Work> works) {}

    private PeerShare(Gateway gateway, EventLoop loop, Ticker ticker, InstanceId self) {
        this.gateway = gateway;
        this.loop = loop;
        this.ticker = ticker;
        this.self = self;
    }

    /** Starts listening for peers. */
    static PeerShare start(Gateway gateway, EventLoop loop, Ticker ticker, GatewayOptions options) throws IOException {
        PeerShare share = new PeerShare(gateway, loop, ticker, options.instance());
        // A number that rises with each start is enough here: no decision depends on it.
        Incarnation incarnation = Incarnation.of(options.instance(), System.currentTimeMillis());
        share.network = PeerNetwork.start(incarnation, options.domain(), options.peers(), ticker, share);
        loop.scheduleAtFixedRate(share::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return share;
    }

    /** Takes the address of a peer that the store lists. */
    void listed(InstanceId instance, InetSocketAddress address) {
        unlisted.remove(instance);
        if (!instance.equals(self)) {
            addresses.put(instance, address);
            planRegroup();
        }
    }

    /**
     * Notes that the store lists a peer no longer.
     *
     * <p>One that cannot reach the store loses its lease and serves on, so it counts until its connection ends too.
     *
     * @param seenLive whether it is known to have happened now and not at some time before
     */
    void notListed(InstanceId instance, boolean seenLive) {
        if (network.isConnected(instance)) {
            unlisted.add(instance);
            return;
        }
        if (addresses.remove(instance) != null && seenLive) {
            peerGone(instance);
        }
        planRegroup();
    }

    private void planRegroup() {
        if (!regroupPlanned) {
            regroupPlanned = true;
            loop.schedule(this::regroup, REGROUP_MS_PER_INSTANCE * addresses.size(), TimeUnit.MILLISECONDS);
        }
    }

    /** Finds the own group among all instances that the store lists, and connects its members. */
    private void regroup() {
        regroupPlanned = false;
        Set<InstanceId> all = new HashSet<>(addresses.keySet());
        all.add(self);
        int groups = ShareGroups.count(all.size());
        Map<InstanceId, Integer> assigned = ShareGroups.assign(GROUPS_OF_INSTANCES, all, groups);
        int own = assigned.get(self);
        Set<InstanceId> now = new HashSet<>(all);
        now.removeIf(i -> i.equals(self) || assigned.get(i) != own);
        if (groups != groupCount) {
            groupCount = groups;
            gateway.log()
                    .belief("group", Map.entry("group", own), Map.entry("of", groups), Map.entry("peers", now.size()));
        }
        for (InstanceId left : members) {
            // One that is no longer listed may still work; its end is told by notListed.
            if (!now.contains(left) && addresses.containsKey(left)) {
                peerGone(left);
            }
        }
        members = now;
        gateway.fleet().setShare(own, groups);
        // One side of each pair dials, which halves the connections.
        network.connectTo(members.stream()
                .filter(i -> i.compareTo(self) > 0)
                .map(addresses::get)
                .toList());
    }

    int peers() {
        return addresses.size();
    }

    void started(List<Work> works, long leftMs) {
        RequestId id = works.getFirst().id();
        own.put(id, new Placed(self, endsAt(leftMs), works));
        network.broadcast(notice(id, leftMs, works), members);
    }

    void read(RequestId id, EndpointId endpoint, long delayMs) {
        network.broadcast(new PeerMessage.WorkRead(id, endpoint, delayMs), members);
    }

    void ended(RequestId id) {
        if (own.remove(id) != null) {
            network.broadcast(new PeerMessage.WorkEnded(id), members);
        }
    }

    void failed(EndpointId endpoint) {
        network.broadcast(new PeerMessage.EndpointFailed(endpoint), members);
    }

    @Override
    public void onMessage(PeerConnection from, PeerMessage message) {
        InstanceId sender = from.peer().instance();
        switch (message) {
            case PeerMessage.ContactQuery query -> loop.execute(() -> answer(from, query));
            case PeerMessage.GatewayMessage notice -> loop.execute(() -> take(sender, notice));
            default -> LOG.log(System.Logger.Level.DEBUG, "[peer] ignored {0}", message.getClass());
        }
    }

    @Override
    public void onConnected(Incarnation peer, FailureDomain domain) {
        loop.execute(() -> {
            gateway.log().belief("peer connected", Map.entry("peer", peer));
            for (Map.Entry<RequestId, Placed> e : own.entrySet()) {
                long leftMs = TimeUnit.NANOSECONDS.toMillis(e.getValue().endsAt - ticker.nanos());
                send(peer.instance(), notice(e.getKey(), Math.max(0, leftMs), e.getValue().works));
            }
        });
    }

    @Override
    public void onDisconnected(Incarnation peer) {
        loop.execute(() -> {
            gateway.log().belief("peer disconnected", Map.entry("peer", peer));
            if (unlisted.remove(peer.instance())) {
                notListed(peer.instance(), true);
            }
        });
    }

    private void take(InstanceId sender, PeerMessage.GatewayMessage notice) {
        switch (notice) {
            case PeerMessage.WorkStarted m -> {
                forget(m.request());
                List<Work> works = m.parts().stream()
                        .map(p -> new Work(
                                m.request(),
                                p.endpoint(),
                                p.holdsSlot(),
                                p.prefillMicros() / 1e3,
                                p.memoryTokens(),
                                p.objectiveMillis(),
                                p.maxGapMillis(),
                                p.weight()))
                        .toList();
                others.put(m.request(), new Placed(sender, endsAt(m.remainingMillis()), works));
                gateway.fleet().start(works);
            }
            case PeerMessage.WorkRead m -> gateway.peerRead(m);
            case PeerMessage.WorkEnded m -> forget(m.request());
            case PeerMessage.ContactReport m -> gateway.peerContact(m);
            case PeerMessage.EndpointFailed m ->
                gateway.fleet().find(m.endpoint()).ifPresent(e -> e.failedElsewhere(ticker.nanos()));
            case PeerMessage.ContactQuery _ -> {
                // Answered where it arrives, since the answer goes back on the same connection.
            }
        }
    }

    private void answer(PeerConnection from, PeerMessage.ContactQuery query) {
        if (gateway.contact().isCurrent()) {
            long age = gateway.contact().ageMs();
            try {
                from.send(new PeerMessage.ContactReport(query.queryNanos(), age, gateway.configuration()));
            } catch (PeerException e) {
                LOG.log(System.Logger.Level.DEBUG, "[peer] no report to {0}: {1}", from.peer(), e.getMessage());
            }
        }
    }

    private void forget(RequestId id) {
        if (others.remove(id) != null) {
            gateway.peerEnded(id);
        }
    }

    private void sweep() {
        long now = ticker.nanos();
        forgetThose(p -> p.endsAt < now);
        long age = gateway.contact().ageMs();
        if (age > ASK_PEERS_AGE_MS || age < 0) {
            network.broadcast(new PeerMessage.ContactQuery(now), members);
        }
    }

    /** Drops the work of a peer that has ended: its connections to endpoints ended with it. */
    private void peerGone(InstanceId peer) {
        forgetThose(p -> p.holder.equals(peer));
    }

    private void forgetThose(Predicate<Placed> which) {
        List<RequestId> found = others.entrySet().stream()
                .filter(e -> which.test(e.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        found.forEach(this::forget);
    }

    private void send(InstanceId to, PeerMessage message) {
        try {
            network.send(to, message);
        } catch (PeerException e) {
            LOG.log(System.Logger.Level.DEBUG, "[peer] not sent to {0}: {1}", to, e.getMessage());
        }
    }

    private long endsAt(long leftMs) {
        return ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(leftMs);
    }

    private static PeerMessage.WorkStarted notice(RequestId id, long leftMs, List<Work> works) {
        return new PeerMessage.WorkStarted(
                id,
                leftMs,
                works.stream()
                        .map(w -> new PeerMessage.WorkPart(
                                w.endpoint(),
                                w.holdsSlot(),
                                (long) (w.readMs() * 1e3),
                                w.memoryTokens(),
                                w.objectiveMs(),
                                w.gapMs(),
                                w.weight()))
                        .toList());
    }

    @Override
    public void close() throws IOException {
        network.close();
    }
}
