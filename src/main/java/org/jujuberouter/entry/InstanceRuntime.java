package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.jujuberouter.admission.AdmissionAuthority;
import org.jujuberouter.admission.AdmissionControllers;
import org.jujuberouter.admission.AdmissionStats;
import org.jujuberouter.admission.Handover;
import org.jujuberouter.admission.HolderLiveness;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.limits.CustomerLimiter;
import org.jujuberouter.membership.Membership;
import org.jujuberouter.memory.MemoryBudget;
import org.jujuberouter.memory.MemoryLimits;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.outcome.IdempotencyStore;
import org.jujuberouter.outcome.RetryBudget;
import org.jujuberouter.ownership.MemberView;
import org.jujuberouter.ownership.Ownership;
import org.jujuberouter.ownership.OwnershipStatus;
import org.jujuberouter.ownership.Registration;
import org.jujuberouter.ownership.ReleasedEndpoint;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;
import org.jujuberouter.quarantine.CrashEvidence;
import org.jujuberouter.quarantine.CrashNotice;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.RoutingSettings;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsCache;
import org.jujuberouter.settings.SettingsWatcher;
import org.jujuberouter.store.HttpMemberList;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.ListedMember;
import org.jujuberouter.store.MemberList;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;

/**
 * The components of an instance and their connections to the store, the platform's list, peers and endpoints.
 *
 * <p>It has no thread of its own: {@link EntryDaemon} calls its periodic steps on the threads of the supervisor tree.
 */
final class InstanceRuntime implements HolderLiveness, MemberView, EndpointMonitor.Listener {
    private static final Logger LOG = System.getLogger(InstanceRuntime.class.getName());

    private static final long REGISTRATION_JITTER_PER_INSTANCE_NANOS = 10_000_000L;
    private static final long MAX_REGISTRATION_JITTER_NANOS = 4_000_000_000L;

    final Ticker ticker = Ticker.system();
    final EngineClient engineClient = EngineClient.create();
    final PermitServer permitServer;
    final CrashEvidence evidence = CrashEvidence.empty(ticker);
    final MemoryBudget memoryBudget = MemoryBudget.of(MemoryLimits.standard(), ticker);
    final RetryBudget retryBudget = RetryBudget.full();
    final SettingsCache settings = SettingsCache.create(ticker);
    final EndpointDirectory directory;
    final Membership membership;
    final Registration registration;
    final Ownership ownership;
    final IdempotencyStore idempotencyStore;
    final CustomerLimiter limits;
    final PeerNetwork network;
    final PermitClient permitClient;
    final ArbiterClient arbiterClient;

    private final EntryOptions options;
    private final PlatformStore store;
    private final MemberList memberList;
    private final SettingsWatcher settingsWatcher;
    private final EndpointMonitor monitor;
    private final AtomicLong heartbeatSequence = new AtomicLong();
    private volatile long registerAtNanos;
    private volatile boolean listLoaded;
    private volatile boolean leaving;
    private Incarnation announcedIncarnation;

    private InstanceRuntime(EntryOptions options, long seed) throws IOException {
        this.options = options;
        InstanceId self = options.instance();
        store = HttpPlatformStore.at(options.store());
        memberList = HttpMemberList.at(options.list());
        directory = EndpointDirectory.create(ticker, Router.of(RoutingSettings.in(options.domain()), ticker, seed));
        membership = Membership.of(ticker, self, options.domain());
        registration = Registration.of(ticker, store, self, options.domain().value(), new SplittableRandom(seed));
        ownership = Ownership.of(ticker, store, registration, this);
        permitServer = PermitServer.of(AdmissionControllers.of(ticker, this::authority, this, this::isEngine));
        idempotencyStore = IdempotencyStore.of(store, ticker);
        limits = CustomerLimiter.of(self, ticker);
        settingsWatcher = SettingsWatcher.of(store, settings);
        monitor = EndpointMonitor.create(ticker, engineClient, permitServer, this);
        PeerMessageHandler messageHandler = new PeerMessageHandler(this);
        network = PeerNetwork.start(
                Incarnation.of(self, 0), options.domain(), options.peerListen(), ticker, messageHandler);
        permitClient = PermitClient.create(ticker, permitServer, ownership, network, this::crashId);
        arbiterClient = ArbiterClient.create(self, ticker, evidence, network, membership::live);
        settings.addListener(this::apply);
    }

    static InstanceRuntime create(EntryOptions options) throws IOException {
        return new InstanceRuntime(
                options, System.nanoTime() ^ options.instance().hashCode());
    }

    /** Returns why the instance accepts no new requests; empty if it accepts them. */
    Optional<String> notReadyReason() {
        if (!settings.isReady()) {
            return Optional.of(settings.problem());
        }
        if (!listLoaded) {
            return Optional.of("the list of endpoints was not read yet");
        }
        return registration.processIncarnation().isEmpty()
                ? Optional.of("the instance is not registered in the store yet")
                : Optional.empty();
    }

    Incarnation self() {
        return registration.processIncarnation().orElse(Incarnation.of(options.instance(), 0));
    }

    private void apply(Settings next) {
        directory.applySettings(next);
        limits.setLimits(LimitMapper.tree(next));
        next.customers()
                .forEach(c -> memoryBudget.setCustomerLimit(
                        c, next.integer(new SettingTarget.Customer(c), "limits.bytes-held")));
        applyDrains();
        LOG.log(Level.INFO, "[settings] Applied version {0}", next.version());
    }

    /** Waits for a change of the settings and returns the delay before the next call. */
    java.time.Duration followSettings() {
        return settingsWatcher.step();
    }

    void readList() {
        List<ListedMember> listed;
        try {
            listed = memberList.read();
        } catch (PlatformException e) {
            LOG.log(Level.DEBUG, "[list] Failed to read the list of instances and endpoints: {0}", e.getMessage());
            return;
        }
        directory.updateMembers(listed);
        List<ListedMember> instances = listed.stream()
                .filter(r -> r.role() == ListedMember.Role.INSTANCE)
                .toList();
        membership.listReceived(instances.stream()
                .map(r -> new Membership.ListedInstance(
                        InstanceId.of(r.name()),
                        FailureDomain.of(r.domain()),
                        r.address(),
                        r.state() == ListedMember.State.LEAVING))
                .toList());
        network.connectTo(instances.stream()
                .filter(r -> !r.name().equals(options.instance().value()))
                .map(r -> EntryOptions.parseAddress(r.address()))
                .toList());
        applyDrains();
        if (!listLoaded) {
            // Registrations are spread out so that a simultaneous start of all instances does not overload the store.
            // The maximum delay grows with the number of instances, so small deployments start without notable delay.
            long spread =
                    Math.min(MAX_REGISTRATION_JITTER_NANOS, instances.size() * REGISTRATION_JITTER_PER_INSTANCE_NANOS);
            registerAtNanos = ticker.nanos() + ThreadLocalRandom.current().nextLong(spread + 1);
        }
        listLoaded = true;
    }

    private boolean isEngine(EndpointId endpoint) {
        ListedMember member = directory.members().get(endpoint);
        return member == null || member.role() == ListedMember.Role.ENGINE;
    }

    private AdmissionAuthority authority(EndpointId endpoint) {
        return switch (ownership.status(endpoint)) {
            case OwnershipStatus.NotOwner n -> new AdmissionAuthority.None(n.hint());
            case OwnershipStatus.Owner o ->
                new AdmissionAuthority.Held(o.fence(), o.predecessors().size(), o::usable, o::unsent, o::reserved);
        };
    }

    void tickOwnership() {
        if (!listLoaded || ticker.nanos() - registerAtNanos < 0) {
            return;
        }
        registration.tick();
        registration
                .processIncarnation()
                .filter(p -> !p.equals(announcedIncarnation))
                .ifPresent(p -> {
                    announcedIncarnation = p;
                    network.announce(p);
                });
        for (ReleasedEndpoint released : ownership.tick(directory.members().keySet())) {
            monitor.forget(released.endpoint());
        }
    }

    private void applyDrains() {
        permitServer.drain(directory.members().keySet().stream()
                .filter(directory::isDrained)
                .collect(Collectors.toUnmodifiableSet()));
    }

    void tickPermits() {
        for (Handover handover : permitServer.tick()) {
            List<PeerMessage.HeldPermit> permits = handover.permits().stream()
                    .map(p -> PermitMapper.toMessage(p.request(), p.serial()))
                    .toList();
            send(handover.next(), new PeerMessage.Handover(handover.endpoint(), handover.fence(), permits));
        }
    }

    private void send(InstanceId to, PeerMessage message) {
        try {
            network.send(to, message);
        } catch (PeerException e) {
            LOG.log(
                    Level.DEBUG,
                    "[peer] Failed to send {0} to {1}: {2}",
                    message.getClass().getSimpleName(),
                    to,
                    e.getMessage());
        }
    }

    void tickMembership() {
        membership.tick();
        limits.setMembers(membership.live());
        for (InstanceId instance : membership.peers()) {
            // An instance that is gone must not block pulling settings from others.
            if (membership.absentNanos(instance) > 0) {
                settings.removePeer(instance);
            }
        }
    }

    void sendHeartbeat() {
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                heartbeatSequence.incrementAndGet(),
                settings.version(),
                ownership.owned().stream().map(this::digest).toList(),
                LimitMapper.toMessage(limits.nextDigest()),
                leaving);
        network.broadcast(heartbeat, membership.peers());
    }

    /** Requests newer settings from a peer if they have not arrived from the store. */
    void pullSettings() {
        settings.startPull().ifPresent(peer -> send(peer, new PeerMessage.SettingsPull(settings.version())));
    }

    private PeerMessage.EndpointDigest digest(EndpointId endpoint) {
        EndpointDirectory.EngineStatus status =
                directory.engineStatus(endpoint).orElse(EndpointDirectory.EngineStatus.unknown());
        return digest(endpoint, permitServer.controller(endpoint).stats(), status);
    }

    private static PeerMessage.EndpointDigest digest(
            EndpointId endpoint, AdmissionStats stats, EndpointDirectory.EngineStatus status) {
        return new PeerMessage.EndpointDigest(
                endpoint,
                stats.own().slots() + stats.foreign().slots() + stats.waiting(),
                Math.max(0, stats.bound().slots()),
                stats.own().tokens() + stats.foreign().tokens(),
                Math.max(0, stats.bound().tokens()),
                status.state(),
                status.model(),
                status.memoryTokens(),
                List.of(
                        status.pending().shortTokens(),
                        status.pending().mediumTokens(),
                        status.pending().longTokens()));
    }

    /** Polls all endpoints that this instance owns, each on its own thread. */
    void pollEndpoints() {
        for (EndpointId endpoint : ownership.owned()) {
            ListedMember member = directory.members().get(endpoint);
            if (member != null) {
                Thread.ofVirtual().start(() -> monitor.poll(member));
            }
        }
    }

    /**
     * Asks the holders of permits for endpoints owned by this instance which permits they still hold.
     *
     * <p>The time in the query lies the lifetime of a permit in the past. A permit granted before that time is either
     * in the holder's report or can no longer be used, regardless of the connection over which it was granted.
     */
    void queryHolders() {
        long queriedAtNanos = ticker.nanos() - Permit.VALIDITY.toNanos();
        for (EndpointId endpoint : ownership.owned()) {
            for (Incarnation holder : permitServer.controller(endpoint).holdersBefore(queriedAtNanos)) {
                if (holder.equals(self())) {
                    List<PermitRequest> held = permitClient.held(endpoint).stream()
                            .map(Permit::request)
                            .toList();
                    permitServer.update(endpoint, controller -> controller.holderReport(holder, held, queriedAtNanos));
                } else {
                    send(holder.instance(), new PeerMessage.HolderQuery(endpoint, queriedAtNanos));
                }
            }
        }
    }

    /** Reads the quarantine entries that were stored before this instance started. */
    void readQuarantineEntries() {
        QuarantineStore.read(store).forEach(evidence::merge);
    }

    @Override
    public void crashed(EndpointId endpoint) {
        directory.markDown(endpoint);
        List<Fingerprint> inFlight = permitServer.controller(endpoint).permits().stream()
                .map(p -> p.request().fingerprint())
                .distinct()
                .toList();
        if (inFlight.isEmpty()) {
            return;
        }
        CrashNotice notice = new CrashNotice(
                crashId(endpoint), endpoint, new java.util.HashSet<>(inFlight), java.time.Duration.ZERO);
        QuarantineStore.write(store, evidence.crashed(notice));
        network.broadcast(ArbiterClient.toMessage(notice));
        LOG.log(
                Level.WARNING,
                "[quarantine] Endpoint {0} crashed while running {1} distinct requests",
                endpoint,
                inFlight.size());
    }

    @Override
    public void reported(EndpointId endpoint, JsonNode load) {
        directory.reportLoad(endpoint, load);
    }

    /** Returns the id for a crash during the current boot of the endpoint; every owner derives the same id. */
    String crashId(EndpointId endpoint) {
        return endpoint + "@" + monitor.boot(endpoint);
    }

    @Override
    public void cacheChanged(EndpointId endpoint, JsonNode event) {
        directory.cacheChanged(endpoint, event);
    }

    /** Polls an endpoint immediately if this instance owns it; used after a holder lost its connection. */
    void pollNow(EndpointId endpoint) {
        ListedMember member = directory.members().get(endpoint);
        if (member != null && ownership.owned().contains(endpoint)) {
            Thread.ofVirtual().start(() -> monitor.poll(member));
        }
    }

    void mergeCrashNotice(PeerMessage.CrashNotice m) {
        directory.markDown(m.endpoint());
        QuarantineStore.write(store, evidence.merge(ArbiterClient.fromMessage(m)));
    }

    @Override
    public boolean isPresumedDead(Incarnation holder) {
        return !holder.equals(self()) && membership.dead(holder);
    }

    @Override
    public boolean isTerminated(Incarnation holder) {
        if (holder.instance().equals(options.instance())) {
            return holder.number() < self().number();
        }
        return membership.absentNanos(holder.instance()) > 0
                || membership.members().stream()
                        .anyMatch(m -> m.id().equals(holder.instance()) && m.incarnation() > holder.number());
    }

    @Override
    public Collection<InstanceId> candidates(EndpointId endpoint) {
        ListedMember member = directory.members().get(endpoint);
        if (member == null || !settings.isReady()) {
            return membership.live();
        }
        Map<InstanceId, FailureDomain> domains = new HashMap<>();
        membership.members().forEach(m -> domains.put(m.id(), m.domain()));
        String region = region(FailureDomain.of(member.domain()));
        List<InstanceId> sameRegion = new ArrayList<>();
        for (InstanceId instance : membership.live()) {
            FailureDomain domain = domains.getOrDefault(instance, options.domain());
            if (region(domain).equals(region)) {
                sameRegion.add(instance);
            }
        }
        return sameRegion;
    }

    private String region(FailureDomain domain) {
        return settings.settings()
                .effective(new SettingTarget.Domain(domain), "region")
                .map(e -> e.value().asText())
                .orElse("");
    }

    @Override
    public long stableNanos() {
        return membership.stableNanos();
    }

    @Override
    public long absentNanos(InstanceId instance) {
        return membership.absentNanos(instance);
    }

    /** Starts the planned stop: notifies peers; the following ownership ticks hand over the endpoints. */
    void beginLeaving() {
        leaving = true;
        membership.setLeaving(true);
        ownership.stop();
        sendHeartbeat();
    }

    /** Returns whether all endpoints have been handed over. */
    boolean hasHandedOver() {
        return ownership.owned().isEmpty();
    }

    /** Ends the lease and closes the connections to peers. */
    void close() {
        registration.stop();
        network.close();
    }

    InetSocketAddress peerAddress() {
        return network.address();
    }
}
