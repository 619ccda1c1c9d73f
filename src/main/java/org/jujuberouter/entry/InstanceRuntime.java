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
import org.jujuberouter.admission.BookFigures;
import org.jujuberouter.admission.EndpointBooks;
import org.jujuberouter.admission.Handover;
import org.jujuberouter.admission.Holders;
import org.jujuberouter.admission.Mandate;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.limits.LimitKeeper;
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
import org.jujuberouter.settings.SettingsWatch;
import org.jujuberouter.store.HttpInstanceList;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.InstanceList;
import org.jujuberouter.store.ListedMember;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;

/**
 * The decision parts of one instance and what feeds them: store, list, peers and endpoints.
 *
 * <p>It owns no thread. {@link EntryDaemon} calls its steps on the threads of the supervisor tree.
 */
final class InstanceRuntime implements Holders, MemberView, EndpointMonitor.Listener {
    private static final Logger LOG = System.getLogger(InstanceRuntime.class.getName());

    private static final long START_SPREAD_NANOS = 10_000_000L;
    private static final long LONGEST_START_SPREAD_NANOS = 4_000_000_000L;

    final Ticker ticker = Ticker.system();
    final EngineClient engines = EngineClient.create();
    final PermitDesk desk;
    final CrashEvidence evidence = CrashEvidence.empty(ticker);
    final MemoryBudget memory = MemoryBudget.of(MemoryLimits.standard(), ticker);
    final RetryBudget retries = RetryBudget.full();
    final SettingsCache settings = SettingsCache.create(ticker);
    final Fleet fleet;
    final Membership membership;
    final Registration registration;
    final Ownership ownership;
    final IdempotencyStore once;
    final LimitKeeper limits;
    final PeerNetwork network;
    final PermitBroker broker;
    final RunConsent consent;

    private final EntryOptions options;
    private final PlatformStore store;
    private final InstanceList list;
    private final SettingsWatch watch;
    private final EndpointMonitor monitor;
    private final AtomicLong heartbeats = new AtomicLong();
    private volatile long registerAt;
    private volatile boolean listRead;
    private volatile boolean leaving;
    private Incarnation announced;

    private InstanceRuntime(EntryOptions options, long seed) throws IOException {
        this.options = options;
        InstanceId self = options.instance();
        store = HttpPlatformStore.at(options.store());
        list = HttpInstanceList.at(options.list());
        fleet = Fleet.create(ticker, Router.of(RoutingSettings.in(options.domain()), ticker, seed));
        membership = Membership.of(ticker, self, options.domain());
        registration = Registration.of(ticker, store, self, options.domain().value(), new SplittableRandom(seed));
        ownership = Ownership.of(ticker, store, registration, this);
        desk = PermitDesk.of(EndpointBooks.of(ticker, this::mandate, this, this::isEngine));
        once = IdempotencyStore.of(store, ticker);
        limits = LimitKeeper.of(self, ticker);
        watch = SettingsWatch.of(store, settings);
        monitor = EndpointMonitor.create(ticker, engines, desk, this);
        PeerInbox inbox = new PeerInbox(this);
        network = PeerNetwork.start(Incarnation.of(self, 0), options.domain(), options.peerListen(), ticker, inbox);
        broker = PermitBroker.create(ticker, desk, ownership, network, this::crashId);
        consent = RunConsent.create(self, ticker, evidence, network, membership::live);
        settings.addListener(this::apply);
    }

    static InstanceRuntime create(EntryOptions options) throws IOException {
        return new InstanceRuntime(
                options, System.nanoTime() ^ options.instance().hashCode());
    }

    /** Returns why the instance takes no new work, or empty when it does. */
    Optional<String> notReady() {
        if (!settings.isReady()) {
            return Optional.of(settings.problem());
        }
        if (!listRead) {
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
        fleet.settings(next);
        limits.setLimits(LimitWire.tree(next));
        next.customers()
                .forEach(c ->
                        memory.setCustomerLimit(c, next.integer(new SettingTarget.Customer(c), "limits.bytes-held")));
        drain();
        LOG.log(Level.INFO, "[settings] Version {0} is in force.", next.version());
    }

    /** Waits for the next settings and returns how long to pause. */
    java.time.Duration followSettings() {
        return watch.step();
    }

    void readList() {
        List<ListedMember> rows;
        try {
            rows = list.read();
        } catch (PlatformException e) {
            LOG.log(Level.DEBUG, "[list] The list did not answer: {0}", e.getMessage());
            return;
        }
        fleet.listed(rows);
        List<ListedMember> instances = rows.stream()
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
        drain();
        if (!listRead) {
            // Spreads the store's load when all instances start at once; a few instances hardly wait.
            long spread = Math.min(LONGEST_START_SPREAD_NANOS, instances.size() * START_SPREAD_NANOS);
            registerAt = ticker.nanos() + ThreadLocalRandom.current().nextLong(spread + 1);
        }
        listRead = true;
    }

    private boolean isEngine(EndpointId endpoint) {
        ListedMember member = fleet.endpoints().get(endpoint);
        return member == null || member.role() == ListedMember.Role.ENGINE;
    }

    private Mandate mandate(EndpointId endpoint) {
        return switch (ownership.status(endpoint)) {
            case OwnershipStatus.NotOwner n -> new Mandate.None(n.hint());
            case OwnershipStatus.Owner o ->
                new Mandate.Held(o.fence(), o.predecessors().size(), o::usable, o::unsent, o::reserved);
        };
    }

    void tickOwnership() {
        if (!listRead || ticker.nanos() - registerAt < 0) {
            return;
        }
        registration.tick();
        registration.processIncarnation().filter(p -> !p.equals(announced)).ifPresent(p -> {
            announced = p;
            network.announce(p);
        });
        for (ReleasedEndpoint released : ownership.tick(fleet.endpoints().keySet())) {
            monitor.forget(released.endpoint());
        }
    }

    private void drain() {
        desk.drain(
                fleet.endpoints().keySet().stream().filter(fleet::isDrained).collect(Collectors.toUnmodifiableSet()));
    }

    void tickPermits() {
        for (Handover handover : desk.tick()) {
            List<PeerMessage.HeldPermit> permits = handover.permits().stream()
                    .map(p -> PermitWire.toMessage(p.request(), p.serial()))
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
                    "[peer] {0} was not sent to {1}: {2}",
                    message.getClass().getSimpleName(),
                    to,
                    e.getMessage());
        }
    }

    void tickMembership() {
        membership.tick();
        limits.setMembers(membership.live());
        for (InstanceId instance : membership.peers()) {
            // An instance that left the view may not hold up the pull of settings.
            if (membership.absentNanos(instance) > 0) {
                settings.forgetPeer(instance);
            }
        }
    }

    void sendHeartbeat() {
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                heartbeats.incrementAndGet(),
                settings.version(),
                ownership.owned().stream().map(this::digest).toList(),
                LimitWire.toMessage(limits.announce()),
                leaving);
        network.broadcast(heartbeat, membership.peers());
    }

    /** Asks a peer for newer settings when the store has not brought them. */
    void pullSettings() {
        settings.startPull().ifPresent(peer -> send(peer, new PeerMessage.SettingsPull(settings.version())));
    }

    private PeerMessage.EndpointDigest digest(EndpointId endpoint) {
        Fleet.Facts facts = fleet.facts(endpoint).orElse(Fleet.Facts.unknown());
        return digest(endpoint, desk.book(endpoint).figures(), facts);
    }

    private static PeerMessage.EndpointDigest digest(EndpointId endpoint, BookFigures f, Fleet.Facts facts) {
        return new PeerMessage.EndpointDigest(
                endpoint,
                f.own().slots() + f.foreign().slots() + f.waiting(),
                Math.max(0, f.bound().slots()),
                f.own().tokens() + f.foreign().tokens(),
                Math.max(0, f.bound().tokens()),
                facts.state(),
                facts.model(),
                facts.memoryTokens(),
                List.of(
                        facts.pending().shortTokens(),
                        facts.pending().mediumTokens(),
                        facts.pending().longTokens()));
    }

    /** Asks all endpoints that this instance owns, each on a thread of its own. */
    void askEndpoints() {
        for (EndpointId endpoint : ownership.owned()) {
            ListedMember member = fleet.endpoints().get(endpoint);
            if (member != null) {
                Thread.ofVirtual().start(() -> monitor.ask(member));
            }
        }
    }

    /**
     * Asks the holders of permits for endpoints owned here which of them they still have.
     *
     * <p>The time in the query lies a permit's life back. A holder that got a permit before it either names the permit or
     * cannot use it any more, whatever connection the grant went over.
     */
    void queryHolders() {
        long asked = ticker.nanos() - Permit.LIFE.toNanos();
        for (EndpointId endpoint : ownership.owned()) {
            for (Incarnation holder : desk.book(endpoint).holdersBefore(asked)) {
                if (holder.equals(self())) {
                    List<PermitRequest> held =
                            broker.held(endpoint).stream().map(Permit::request).toList();
                    desk.on(endpoint, b -> b.holderReport(holder, held, asked));
                } else {
                    send(holder.instance(), new PeerMessage.HolderQuery(endpoint, asked));
                }
            }
        }
    }

    /** Reads convictions that were made before this instance started. */
    void readConvictions() {
        Convictions.read(store).forEach(evidence::merge);
    }

    @Override
    public void crashed(EndpointId endpoint) {
        fleet.down(endpoint);
        List<Fingerprint> inFlight = desk.book(endpoint).permits().stream()
                .map(p -> p.request().fingerprint())
                .distinct()
                .toList();
        if (inFlight.isEmpty()) {
            return;
        }
        CrashNotice notice = new CrashNotice(
                crashId(endpoint), endpoint, new java.util.HashSet<>(inFlight), java.time.Duration.ZERO);
        Convictions.write(store, evidence.crashed(notice));
        network.broadcast(RunConsent.message(notice));
        LOG.log(Level.WARNING, "[quarantine] Endpoint {0} crashed with {1} requests.", endpoint, inFlight.size());
    }

    @Override
    public void reported(EndpointId endpoint, JsonNode load) {
        fleet.reported(endpoint, load);
    }

    /** Names the end of the endpoint's present life; the same on every instance that may own it. */
    String crashId(EndpointId endpoint) {
        return endpoint + "@" + monitor.boot(endpoint);
    }

    @Override
    public void cacheChanged(EndpointId endpoint, JsonNode event) {
        fleet.cacheChanged(endpoint, event);
    }

    /** Asks an endpoint at once, because a holder lost its connection there. */
    void askNow(EndpointId endpoint) {
        ListedMember member = fleet.endpoints().get(endpoint);
        if (member != null && ownership.owned().contains(endpoint)) {
            Thread.ofVirtual().start(() -> monitor.ask(member));
        }
    }

    void receiveCrash(PeerMessage.CrashNotice m) {
        fleet.down(m.endpoint());
        Convictions.write(store, evidence.merge(RunConsent.notice(m)));
    }

    @Override
    public boolean dead(Incarnation holder) {
        return !holder.equals(self()) && membership.dead(holder);
    }

    @Override
    public boolean gone(Incarnation holder) {
        if (holder.instance().equals(options.instance())) {
            return holder.number() < self().number();
        }
        return membership.absentNanos(holder.instance()) > 0
                || membership.members().stream()
                        .anyMatch(m -> m.id().equals(holder.instance()) && m.incarnation() > holder.number());
    }

    @Override
    public Collection<InstanceId> candidates(EndpointId endpoint) {
        ListedMember member = fleet.endpoints().get(endpoint);
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

    /** Starts the planned stop: peers are told, and endpoints are handed over by the following ticks. */
    void beginLeaving() {
        leaving = true;
        membership.setLeaving(true);
        ownership.stop();
        sendHeartbeat();
    }

    /** Tells whether every endpoint was handed over. */
    boolean hasHandedOver() {
        return ownership.owned().isEmpty();
    }

    /** Ends the lease and the connections. */
    void close() {
        registration.stop();
        try {
            network.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "[peer] Closing failed: {0}", e.getMessage());
        }
    }

    InetSocketAddress peerAddress() {
        return network.address();
    }
}
