package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.dispatch.Allocation;
import org.jujuberouter.dispatch.InstanceGroups;
import org.jujuberouter.dispatch.WorkClaim;
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
 * Exchanges with the peers of the same group the work that each instance has placed, so that placement takes the load
 * of the whole group into account.
 *
 * <p>A notification is sent together with the request and arrives about as soon as the request reaches its endpoint.
 * Work whose end is not reported counts until its deadline. A newly connected peer is sent all work in progress.
 */
final class PeerLoadSync implements PeerListener, ReadinessSync.Peers, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerLoadSync.class.getName());

    private static final String INSTANCE_GROUPS = "instances";

    /** Delay of regrouping per listed instance, to batch several changes of the list. */
    private static final long REGROUP_DELAY_MS_PER_INSTANCE = 4;

    /** Interval at which expired work of peers is removed and the age of the view of the store is checked. */
    private static final long SWEEP_INTERVAL_MS = 500;

    /** Age of this instance's view of the store above which the peers are asked for the age of theirs. */
    private static final long PEER_QUERY_AGE_MS = 2_500;

    private final Gateway gateway;
    private final StoreWatcher watcher;
    private final StoreProof proof;
    private final EventLoop loop;
    private final Ticker ticker;
    private final Incarnation self;
    private final Map<RequestId, PlacedWork> ownWork = new HashMap<>();
    private final Map<RequestId, PlacedWork> peerWork = new LinkedHashMap<>();
    private final Map<InstanceId, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InstanceId, FailureDomain> domains = new HashMap<>();
    private final Set<InstanceId> connectedUnlisted = new HashSet<>();
    private Set<InstanceId> members = Set.of();
    private int groupCount;
    private final StoreProofRoles proofRoles;
    private boolean regroupScheduled;
    private Set<InstanceId> listed;
    private Optional<InstanceId> leader = Optional.empty();
    private PeerNetwork network;

    private record PlacedWork(InstanceId instance, long expiresAt, List<Allocation> allocations, WorkClaim claim) {}

    private PeerLoadSync(Gateway gateway, StoreWatcher watcher, EventLoop loop, Ticker ticker, Incarnation self) {
        this.gateway = gateway;
        this.watcher = watcher;
        this.proof = gateway.storeProof(watcher);
        this.loop = loop;
        this.ticker = ticker;
        this.self = self;
        this.proofRoles = StoreProofRoles.of(self.instance(), ticker);
    }

    /** Starts listening for peers. */
    static PeerLoadSync start(
            Gateway gateway, StoreWatcher watcher, EventLoop loop, Ticker ticker, GatewayOptions options)
            throws IOException {
        // The start time suffices as a number that increases with each start: no decision depends on it.
        Incarnation incarnation = Incarnation.of(options.instance(), System.currentTimeMillis());
        PeerLoadSync sync = new PeerLoadSync(gateway, watcher, loop, ticker, incarnation);
        sync.domains.put(options.instance(), options.domain());
        sync.network = PeerNetwork.startOn(loop, incarnation, options.domain(), options.peers(), ticker, sync);
        loop.scheduleAtFixedRate(sync::sweepWork, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        sync.scheduleProofQuery();
        return sync;
    }

    /** Records the address and the domain of an instance that the store lists. */
    void peerListed(ControlEntry.Peer peer) {
        connectedUnlisted.remove(peer.instance());
        if (!peer.instance().equals(self.instance())) {
            addresses.put(peer.instance(), peer.address());
            peer.domain().ifPresentOrElse(d -> domains.put(peer.instance(), d), () -> domains.remove(peer.instance()));
            membersChanged();
        }
    }

    /**
     * Handles the removal of a peer from the store's list.
     *
     * <p>A peer that cannot reach the store loses its lease but continues to serve, so it stays a peer until its
     * connection is closed as well.
     *
     * @param observedLive whether the removal was observed as it happened, rather than found in a later read of the
     *     store
     */
    void peerUnlisted(InstanceId instance, boolean observedLive) {
        if (network.isConnected(instance)) {
            connectedUnlisted.add(instance);
            return;
        }
        domains.remove(instance);
        if (addresses.remove(instance) != null && observedLive) {
            removeWorkOf(instance);
        }
        membersChanged();
    }

    private void membersChanged() {
        listed = null;
        gateway.setInstanceCount(addresses.size() + 1);
        if (!regroupScheduled) {
            regroupScheduled = true;
            loop.schedule(this::regroup, REGROUP_DELAY_MS_PER_INSTANCE * addresses.size(), TimeUnit.MILLISECONDS);
        }
    }

    /** Computes the group of this instance from the listed instances and connects to its members. */
    private void regroup() {
        regroupScheduled = false;
        Set<InstanceId> all = new HashSet<>(addresses.keySet());
        all.add(self.instance());
        int groups = InstanceGroups.groupCount(all.size());
        // Instances of builds that register no domain compute groups without domains, and all must compute the same.
        boolean byDomain = domains.size() == all.size();
        Map<InstanceId, Integer> assigned = byDomain
                ? InstanceGroups.assignByDomain(INSTANCE_GROUPS, domains, groups)
                : InstanceGroups.assign(INSTANCE_GROUPS, all, groups);
        int ownGroup = assigned.get(self.instance());
        Set<InstanceId> newMembers = new HashSet<>(all);
        newMembers.removeIf(i -> i.equals(self.instance()) || assigned.get(i) != ownGroup);
        if (groups != groupCount) {
            groupCount = groups;
            gateway.log()
                    .stateChanged(
                            "group",
                            Map.entry("group", ownGroup),
                            Map.entry("of", groups),
                            Map.entry("peers", newMembers.size()));
        }
        for (InstanceId former : members) {
            // An instance that is no longer listed may still be running calls; peerUnlisted handles its end.
            if (!newMembers.contains(former) && addresses.containsKey(former)) {
                removeWorkOf(former);
            }
        }
        Set<InstanceId> formerMembers = members;
        members = newMembers;
        selectProving();
        gateway.overload().setGroup(members, domains, this);
        gateway.registry().setGroup(ownGroup, groups, byDomain);
        if (gateway.duties().isPresent()) {
            // An instance that connected to report to the leader, or as the leader, was not sent the work.
            members.stream()
                    .filter(i -> !formerMembers.contains(i) && network.isConnected(i))
                    .forEach(this::sendOwnWork);
        }
        connect();
    }

    /** Connects to the members of the group and to the leader; only one side of each pair of members connects. */
    private void connect() {
        Stream<InstanceId> wanted = Stream.concat(
                members.stream().filter(i -> i.compareTo(self.instance()) > 0),
                leader.stream().filter(i -> !members.contains(i)));
        network.connectTo(
                wanted.map(addresses::get).filter(Objects::nonNull).distinct().toList());
    }

    /** Sets the instance that receives the reports of this one. */
    void setLeader(Optional<InstanceId> instance) {
        if (!leader.equals(instance)) {
            leader = instance;
            connect();
        }
    }

    /** Returns the instances that the store lists or that are connected, including this one. */
    Set<InstanceId> listed() {
        if (listed == null) {
            listed = new HashSet<>(addresses.keySet());
            listed.add(self.instance());
        }
        return listed;
    }

    @Override
    public boolean isConnected(InstanceId instance) {
        return network.isConnected(instance);
    }

    Incarnation self() {
        return self;
    }

    int groupCount() {
        return groupCount;
    }

    int peerCount() {
        return addresses.size();
    }

    void workStarted(List<Allocation> allocations, long remainingMs, WorkClaim claim, long waitedMs) {
        PlacedWork work = new PlacedWork(self.instance(), expiresAt(remainingMs), allocations, claim);
        ownWork.put(allocations.getFirst().id(), work);
        network.broadcast(workStartedMessage(work, remainingMs, waitedMs), members);
    }

    void workRead(RequestId id, EndpointId endpoint, long delayMs) {
        network.broadcast(new PeerMessage.WorkRead(id, endpoint, delayMs), members);
    }

    void workEnded(RequestId id) {
        if (ownWork.remove(id) != null) {
            network.broadcast(new PeerMessage.WorkEnded(id), members);
        }
    }

    void endpointFailed(EndpointId endpoint) {
        network.broadcast(new PeerMessage.EndpointFailed(endpoint), members);
    }

    /** Sends a message to all peers of the group. */
    void broadcast(PeerMessage.GatewayMessage message) {
        network.broadcast(message, members);
    }

    @Override
    public void onMessage(PeerConnection from, PeerMessage message) {
        InstanceId sender = from.peer().instance();
        switch (message) {
            case PeerMessage.ContactQuery query -> answer(from, query);
            case PeerMessage.DutyMessage m -> gateway.duties().ifPresent(d -> d.onMessage(from, m));
            case PeerMessage.GatewayMessage gatewayMessage -> apply(sender, gatewayMessage);
            default -> LOG.log(System.Logger.Level.DEBUG, "[peer] ignored unexpected message {0}", message.getClass());
        }
    }

    @Override
    public void onConnected(Incarnation peer, FailureDomain domain) {
        gateway.log().stateChanged("peer connected", Map.entry("peer", peer));
        selectProving();
        if (gateway.duties().isEmpty() || members.contains(peer.instance())) {
            sendOwnWork(peer.instance());
        }
    }

    private void sendOwnWork(InstanceId peer) {
        for (PlacedWork work : ownWork.values()) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(work.expiresAt - ticker.nanos());
            send(peer, workStartedMessage(work, Math.max(0, remainingMs), 0));
        }
    }

    @Override
    public void onDisconnected(Incarnation peer) {
        gateway.log().stateChanged("peer disconnected", Map.entry("peer", peer));
        selectProving();
        if (!network.isConnected(peer.instance())) {
            gateway.duties().ifPresent(d -> d.onDisconnected(peer));
        }
        if (connectedUnlisted.remove(peer.instance())) {
            peerUnlisted(peer.instance(), true);
        }
    }

    private void apply(InstanceId sender, PeerMessage.GatewayMessage message) {
        switch (message) {
            case PeerMessage.WorkStarted m -> {
                // Work that is sent again after a connection was lost is charged only once.
                if (!peerWork.containsKey(m.request())) {
                    gateway.chargePeerWork(m);
                }
                removeWork(m.request());
                List<Allocation> allocations = allocations(m);
                peerWork.put(
                        m.request(),
                        new PlacedWork(sender, expiresAt(m.remainingMillis()), allocations, WorkClaim.NONE));
                gateway.registry().allocate(allocations);
            }
            case PeerMessage.WorkRead m -> gateway.peerWorkRead(m);
            case PeerMessage.WorkEnded m -> removeWork(m.request());
            case PeerMessage.ContactReport m -> {
                proofRoles.onReport(sender, m);
                proof.onReport(m);
                gateway.overload().onReport(m);
            }
            case PeerMessage.EndpointFailed m ->
                gateway.registry().find(m.endpoint()).ifPresent(e -> e.recordPeerFailure(ticker.nanos()));
            case PeerMessage.CrashMessage m -> gateway.crashes().onPeerMessage(m);
            case PeerMessage.ContactQuery _, PeerMessage.DutyMessage _ -> {
                // Handled in onMessage, since the reply is sent on the same connection.
            }
        }
    }

    private static List<Allocation> allocations(PeerMessage.WorkStarted started) {
        List<Allocation> allocations = new ArrayList<>(started.parts().size());
        for (PeerMessage.WorkPart p : started.parts()) {
            allocations.add(new Allocation(
                    started.request(),
                    p.endpoint(),
                    p.holdsSlot(),
                    p.prefillMicros() / 1e3,
                    p.memoryTokens(),
                    p.objectiveMillis(),
                    p.maxGapMillis(),
                    p.weight()));
        }
        return allocations;
    }

    /** Selects the instances of the group that prove the view of the store by the connected ones. */
    private void selectProving() {
        proofRoles.setConnected(members.stream().filter(network::isConnected), addresses.size() + 1);
        watcher.setProvesForOthers(proofRoles.proves(watcher.isConnected()));
    }

    private void scheduleProofQuery() {
        long delayMs = StoreProofRoles.queryIntervalMs(watcher.awaitsStoreOfPeers());
        loop.schedule(this::queryProof, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Asks those that prove the view of the store, unless this instance does. */
    private void queryProof() {
        for (InstanceId asked : proofRoles.toAsk()) {
            send(asked, new PeerMessage.ContactQuery(ticker.nanos()));
        }
        watcher.setProvesForOthers(proofRoles.proves(watcher.isConnected()));
        watcher.checkProof();
        scheduleProofQuery();
    }

    private void answer(PeerConnection from, PeerMessage.ContactQuery query) {
        long grantedMs = gateway.overload().grant(from.peer().instance(), query.unreadyMillis());
        if (proof.canReport() || proofRoles.isCandidate()) {
            try {
                from.send(proof.report(query).granting(grantedMs));
            } catch (PeerException e) {
                LOG.log(
                        System.Logger.Level.DEBUG,
                        "[peer] contact report not sent to {0}: {1}",
                        from.peer(),
                        e.getMessage());
            }
        }
    }

    private void removeWork(RequestId id) {
        if (peerWork.remove(id) != null) {
            gateway.peerWorkEnded(id);
        }
    }

    private void sweepWork() {
        long now = ticker.nanos();
        removeWorkIf(p -> p.expiresAt < now);
        long age = gateway.storeFreshness().ageMs();
        if (age > PEER_QUERY_AGE_MS || age < 0) {
            network.broadcast(new PeerMessage.ContactQuery(now), members);
        }
    }

    /**
     * Removes the work of a peer that terminated, which closed its connections to endpoints, or that left the group.
     */
    private void removeWorkOf(InstanceId peer) {
        removeWorkIf(p -> p.instance.equals(peer));
    }

    private void removeWorkIf(Predicate<PlacedWork> condition) {
        List<RequestId> found = peerWork.entrySet().stream()
                .filter(e -> condition.test(e.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        found.forEach(this::removeWork);
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
        try {
            network.send(to, message);
        } catch (PeerException e) {
            LOG.log(System.Logger.Level.DEBUG, "[peer] work notification not sent to {0}: {1}", to, e.getMessage());
        }
    }

    private long expiresAt(long remainingMs) {
        return ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(remainingMs);
    }

    private static PeerMessage.WorkStarted workStartedMessage(PlacedWork work, long remainingMs, long waitedMs) {
        return new PeerMessage.WorkStarted(
                work.allocations.getFirst().id(),
                remainingMs,
                work.allocations.stream()
                        .map(w -> new PeerMessage.WorkPart(
                                w.endpoint(),
                                w.holdsSlot(),
                                (long) (w.prefillMs() * 1e3),
                                w.memoryTokens(),
                                w.objectiveMs(),
                                w.gapObjectiveMs(),
                                w.lateCost()))
                        .toList(),
                (long) (work.claim.workMs() * 1e3),
                waitedMs,
                work.claim.customer());
    }

    @Override
    public void close() {
        network.close();
    }
}
