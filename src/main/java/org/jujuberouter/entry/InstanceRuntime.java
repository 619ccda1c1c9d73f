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
import java.util.concurrent.atomic.AtomicLong;
import org.jujuberouter.admission.BookFigures;
import org.jujuberouter.admission.EndpointBook;
import org.jujuberouter.admission.Holders;
import org.jujuberouter.admission.Mandate;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.limits.LimitKeeper;
import org.jujuberouter.membership.Membership;
import org.jujuberouter.memory.MemoryBounds;
import org.jujuberouter.memory.MemoryLedger;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.outcome.OnceRecords;
import org.jujuberouter.outcome.RetryBudget;
import org.jujuberouter.ownership.MemberView;
import org.jujuberouter.ownership.Ownership;
import org.jujuberouter.ownership.Registration;
import org.jujuberouter.ownership.Released;
import org.jujuberouter.ownership.Standing;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;
import org.jujuberouter.platform.HttpInstanceList;
import org.jujuberouter.platform.HttpPlatformStore;
import org.jujuberouter.platform.InstanceList;
import org.jujuberouter.platform.ListedMember;
import org.jujuberouter.platform.PlatformException;
import org.jujuberouter.platform.PlatformStore;
import org.jujuberouter.quarantine.CrashEvidence;
import org.jujuberouter.quarantine.CrashNotice;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.RoutingSettings;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsCache;
import org.jujuberouter.settings.SettingsWatch;

/**
 * The decision parts of one instance and what feeds them: store, list, peers and endpoints.
 *
 * <p>It owns no thread. {@link EntryDaemon} calls its steps on the threads of the supervisor tree.
 */
final class InstanceRuntime implements Holders, MemberView, EndpointMonitor.Listener {
    private static final Logger LOG = System.getLogger(InstanceRuntime.class.getName());

    final Ticker ticker = Ticker.system();
    final EngineClient engines = EngineClient.create();
    final PermitDesk desk = PermitDesk.empty();
    final CrashEvidence evidence = CrashEvidence.empty(ticker);
    final MemoryLedger memory = MemoryLedger.of(MemoryBounds.standard(), ticker);
    final RetryBudget retries = RetryBudget.full();
    final SettingsCache settings = SettingsCache.create(ticker);
    final Fleet fleet;
    final Membership membership;
    final Registration registration;
    final Ownership ownership;
    final OnceRecords once;
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
        once = OnceRecords.of(store, ticker);
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
        return registration.process().isEmpty()
                ? Optional.of("the instance is not registered in the store yet")
                : Optional.empty();
    }

    Incarnation self() {
        return registration.process().orElse(Incarnation.of(options.instance(), 0));
    }

    private void apply(Settings next) {
        fleet.settings(next);
        limits.setLimits(LimitWire.tree(next));
        next.customers()
                .forEach(c ->
                        memory.setCustomerBound(c, next.integer(new SettingTarget.Customer(c), "limits.bytes-held")));
        desk.books().forEach(b -> desk.on(b.endpoint(), book -> book.drain(fleet.isDrained(b.endpoint()))));
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
        membership.listed(instances.stream()
                .map(r -> new Membership.Listed(
                        InstanceId.of(r.name()),
                        FailureDomain.of(r.domain()),
                        r.address(),
                        r.state() == ListedMember.State.LEAVING))
                .toList());
        network.connectTo(instances.stream()
                .filter(r -> !r.name().equals(options.instance().value()))
                .map(r -> EntryOptions.parseAddress(r.address()))
                .toList());
        fleet.endpoints().forEach(this::openBook);
        listRead = true;
    }

    private void openBook(EndpointId endpoint, ListedMember member) {
        if (desk.book(endpoint).isPresent()) {
            return;
        }
        EndpointBook book = member.role() == ListedMember.Role.ENGINE
                ? EndpointBook.ofEngine(ticker, endpoint, () -> mandate(endpoint), this)
                : EndpointBook.ofPlainService(ticker, endpoint, () -> mandate(endpoint), this);
        book.drain(fleet.isDrained(endpoint));
        desk.open(book);
    }

    private Mandate mandate(EndpointId endpoint) {
        return switch (ownership.standing(endpoint)) {
            case Standing.NotOwner n -> new Mandate.None(n.hint());
            case Standing.Owner o ->
                new Mandate.Held(o.fence(), o.predecessors().size(), o::usable, o::unsent, o::reserved);
        };
    }

    void tickOwnership() {
        registration.tick();
        registration.process().filter(p -> !p.equals(announced)).ifPresent(p -> {
            announced = p;
            network.announce(p);
        });
        for (Released released : ownership.tick(fleet.endpoints().keySet())) {
            monitor.forget(released.endpoint());
            if (released.next() != null) {
                handOver(released);
            }
        }
    }

    private void handOver(Released released) {
        List<PeerMessage.HeldPermit> permits = desk.book(released.endpoint())
                .map(b -> b.permits().stream()
                        .map(p -> PermitWire.toMessage(p.request(), p.serial()))
                        .toList())
                .orElse(List.of());
        try {
            network.send(released.next(), new PeerMessage.Handover(released.endpoint(), released.fence(), permits));
        } catch (PeerException e) {
            LOG.log(Level.INFO, "[ownership] Handover of {0} was not sent: {1}", released.endpoint(), e.getMessage());
        }
    }

    void tickMembership() {
        membership.tick();
        limits.setMembers(membership.live());
        for (InstanceId instance : membership.peers()) {
            // An instance that left the view may not hold up the pull of settings.
            if (membership.goneNanos(instance) > 0) {
                settings.forgetPeer(instance);
            }
        }
    }

    void sendHeartbeat() {
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                heartbeats.incrementAndGet(),
                settings.version(),
                ownership.owned().stream()
                        .map(this::digest)
                        .flatMap(Optional::stream)
                        .toList(),
                LimitWire.toMessage(limits.announce()),
                leaving);
        network.broadcast(heartbeat, membership.peers());
        settings.startPull().ifPresent(peer -> {
            try {
                network.send(peer, new PeerMessage.SettingsPull(settings.version()));
            } catch (PeerException e) {
                LOG.log(Level.DEBUG, "[settings] Pull from {0} was not sent: {1}", peer, e.getMessage());
            }
        });
    }

    private Optional<PeerMessage.EndpointDigest> digest(EndpointId endpoint) {
        Fleet.Facts facts = fleet.facts(endpoint).orElse(Fleet.Facts.unknown());
        return desk.book(endpoint).map(EndpointBook::figures).map(f -> digest(endpoint, f, facts));
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

    /** Names the permits held here to the owners of endpoints that keep no list of their own. */
    void reportHeldPermits() {
        fleet.endpoints().forEach((endpoint, member) -> {
            if (member.role() == ListedMember.Role.PLAIN) {
                broker.reportHeld(endpoint);
            }
        });
    }

    /** Reads convictions that were made before this instance started. */
    void readConvictions() {
        Convictions.read(store).forEach(evidence::merge);
    }

    @Override
    public void crashed(EndpointId endpoint) {
        fleet.down(endpoint);
        List<Fingerprint> inFlight = desk.book(endpoint)
                .map(b -> b.permits().stream()
                        .map(p -> p.request().fingerprint())
                        .distinct()
                        .toList())
                .orElse(List.of());
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
        return membership.goneNanos(holder.instance()) > 0
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
    public long goneNanos(InstanceId instance) {
        return membership.goneNanos(instance);
    }

    /** Starts the planned stop: peers are told, and endpoints are handed over by the following ticks. */
    void beginLeaving() {
        leaving = true;
        membership.leaving(true);
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
