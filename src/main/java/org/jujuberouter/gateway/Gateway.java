package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.StoreListener;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.dispatch.Allocation;
import org.jujuberouter.dispatch.CallQueue;
import org.jujuberouter.dispatch.CallRequirements;
import org.jujuberouter.dispatch.CallScheduler;
import org.jujuberouter.dispatch.CustomerStanding;
import org.jujuberouter.dispatch.EndpointRegistry;
import org.jujuberouter.dispatch.FairShare;
import org.jujuberouter.dispatch.PlacementDecision;
import org.jujuberouter.dispatch.RetryLimiter;
import org.jujuberouter.dispatch.StopSchedule;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.dispatch.TrackedEndpoint;
import org.jujuberouter.dispatch.WorkClaim;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.http.CallFailure;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.RecentMaximum;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.scaling.DemandMeter;

/** State of one instance and the calls that it serves; confined to its event loop. */
final class Gateway implements StoreListener {
    /** Interval at which queued calls are retried, to notice capacity changes for which there is no event. */
    private static final long PLACEMENT_RETRY_MS = 10;

    /** Range of the random delay before queued calls are retried after a capacity change. */
    private static final long PLACEMENT_JITTER_MS = 9;

    /** Time after which no more request is expected on a new connection; callers give up connecting after 1 s. */
    private static final long MAX_REQUEST_DELAY_MS = 1_000;

    private final GatewayOptions options;
    private final EventLoop loop;
    private final CallCodec codec;
    private final MemoryReservations reservations;
    private final EndpointProbe probe;
    private final Ticker ticker = Ticker.system();
    private final GatewayLog log = GatewayLog.create();
    private final GatewayMetrics metrics = GatewayMetrics.ofProcess();
    private final InstanceOverload overload;
    private final StoreFreshness storeFreshness;
    private final StoreFreshness viewFreshness;
    private final EndpointRegistry registry = EndpointRegistry.empty(ticker);
    private final CallScheduler scheduler;
    private final long fullSlackAt;
    private final RecentMaximum instanceCount;
    private final Map<ServiceName, RetryLimiter> retries = new HashMap<>();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Set<Exchange> running = new HashSet<>();
    private final StopSchedule stopSchedule;
    private final FairShare shares;
    private final CallQueue<Exchange> waitQueue;
    private final DemandMeter demandMeter;
    private PeerLoadSync peerLoad;
    private CrashQuarantine crashes;
    private Optional<DutySync> duties = Optional.empty();
    private Optional<Catalog> catalog = Optional.empty();
    private long previousIdleTimeoutMs;
    private int memoryReleases;
    private boolean placementScheduled;
    private boolean storeReachable;

    Gateway(
            GatewayOptions options,
            EventLoop loop,
            CallCodec codec,
            MemoryReservations reservations,
            EndpointProbe probe) {
        this.reservations = reservations;
        this.probe = probe;
        this.options = options;
        this.loop = loop;
        this.codec = codec;
        OptionalFeatures features = options.features();
        long slackDelayMs = options.firstStart() ? 0 : options.bounds().retryWindowMs();
        this.fullSlackAt = ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(slackDelayMs);
        this.instanceCount = RecentMaximum.of(ticker, options.bounds().retryWindowMs(), 1);
        this.shares = features.fairSharing() ? FairShare.of(ticker) : FairShare.recordedOnly(ticker);
        this.waitQueue = CallQueue.sharedBy(shares, ticker);
        this.scheduler = CallScheduler.on(
                        registry, ticker, features.domainPolicy(options.domain()), features.queueMode())
                .behind(waitQueue.ahead());
        this.demandMeter = DemandMeter.of(options.domain());
        this.stopSchedule = StopSchedule.of(ticker, options.bounds().stopMs());
        long keysMs = options.bounds().keyRevocationMs();
        this.storeFreshness = StoreFreshness.of(ticker, Ticker.wallClock(), keysMs);
        this.viewFreshness = StoreFreshness.of(ticker, Ticker.wallClock(), keysMs);
        metrics.gauge("calls_running", running::size);
        metrics.gauge("calls_waiting", waitQueue::size);
        metrics.engineReservations(scheduler.reservations());
        metrics.shares(shares);
        metrics.gauge("caller_connections", connections::size);
        metrics.gauge("memory_releases_pending", () -> memoryReleases);
        metrics.gauge("peers_known", () -> peerLoad.peerCount());
        metrics.endpoints(registry);
        metrics.gauge("configuration_version", this::configurationVersion);
        metrics.storeAges(storeFreshness, viewFreshness);
        this.overload = InstanceOverload.start(this, options, viewFreshness);
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    InstanceOverload overload() {
        return overload;
    }

    EventLoop loop() {
        return loop;
    }

    Ticker ticker() {
        return ticker;
    }

    CallCodec codec() {
        return codec;
    }

    MemoryReservations reservations() {
        return reservations;
    }

    EndpointProbe probe() {
        return probe;
    }

    GatewayLog log() {
        return log;
    }

    StoreFreshness storeFreshness() {
        return storeFreshness;
    }

    Optional<Catalog> catalog() {
        return catalog;
    }

    CallerLimits limits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.beforeConfiguration());
    }

    /**
     * Returns the idle timeout. It is not below that of the preceding configuration, so that an update does not
     * shorten it for connections that are already open.
     */
    long idleTimeoutMs() {
        return Math.max(previousIdleTimeoutMs, limits().idleTimeoutMs());
    }

    StopSchedule stopSchedule() {
        return stopSchedule;
    }

    /** Returns whether a call can end before the instance does; always, unless the instance is stopping. */
    boolean canEndBeforeStop(CallRequirements requirements, ServiceSpec service, long deadlineMs) {
        return !stopSchedule.isStopping() || stopSchedule.accepts(requirements.expectedMs(service), deadlineMs);
    }

    /** Returns whether the platform should send new connections to this instance. */
    boolean isReady() {
        return !stopSchedule.isStopping() && catalog.isPresent() && storeFreshness.isCurrent() && overload.isReady();
    }

    /** Returns whether no call is running, no response is being written and no engine memory is to be freed. */
    boolean isDrained() {
        return running.isEmpty()
                && memoryReleases == 0
                && connections.stream().noneMatch(CallerConnection::isResponding);
    }

    /** Ends all calls: as not run where that is certain, otherwise as failed. */
    void endCalls() {
        new ArrayList<>(running).forEach(Exchange::onStopTimeout);
    }

    /** Records that memory at an engine is to be freed; the instance has to run until the engine has confirmed it. */
    void memoryReleaseStarted() {
        memoryReleases++;
    }

    void memoryReleaseEnded() {
        memoryReleases--;
    }

    /** Reports the instance as not ready and takes only calls that can end in time. */
    void stop() {
        stopSchedule.begin();
        overload.stopping();
        log.stateChanged(
                "stopping", Map.entry("running", running.size()), Map.entry("connections", connections.size()));
    }

    /** Closes the connections whose callers have no request under way, as far as that can be told. */
    void closeIdleConnections() {
        for (CallerConnection c : new ArrayList<>(connections)) {
            if (c.isIdleFor(MAX_REQUEST_DELAY_MS)) {
                c.close();
            }
        }
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    Exchange newExchange(CallerConnection caller, HttpRequest head, ByteBuf body) {
        Exchange exchange = new Exchange(this, caller, head, body);
        running.add(exchange);
        return exchange;
    }

    void finished(Exchange exchange) {
        running.remove(exchange);
        waitQueue.remove(exchange);
    }

    RetryLimiter retries(ServiceName service) {
        return retries.computeIfAbsent(
                service,
                _ -> RetryLimiter.of(
                        ticker,
                        options.bounds().retryWindowMs(),
                        options.bounds().retryRatio(),
                        options.bounds().retrySlack(),
                        fullSlackAt));
    }

    /** Records the number of instances, including this one. */
    void setInstanceCount(int count) {
        instanceCount.set(count);
        scheduler.setSharers(count / Math.max(1, groupCount()));
    }

    boolean tryRetry(ServiceName service) {
        boolean allowed = retries(service).tryAcquire(instanceCount.get());
        metrics.retry(service.value(), allowed);
        return allowed;
    }

    void allocate(List<Allocation> allocations, CallRequirements requirements, long remainingMs, long waitedMs) {
        registry.allocate(allocations);
        shares.charge(requirements.service(), requirements.claim(), waitedMs);
        peerLoad.workStarted(allocations, remainingMs, requirements.claim(), waitedMs);
    }

    /** Charges the work of a call that a peer has placed to its customer. */
    void chargePeerWork(PeerMessage.WorkStarted work) {
        if (work.workMicros() == 0 || work.parts().isEmpty()) {
            return;
        }
        Optional<TrackedEndpoint> endpoint =
                registry.find(work.parts().getFirst().endpoint());
        if (endpoint.isPresent()) {
            WorkClaim claim = new WorkClaim(work.customer(), WorkClaim.UNKNOWN_PRIORITY, work.workMicros() / 1e3);
            shares.charge(endpoint.get().registration().service(), claim, work.waitedMillis());
        }
    }

    /** Returns how the customer of a call stands to its fair share of the service. */
    CustomerStanding standing(CallRequirements requirements) {
        return shares.standing(requirements);
    }

    /** Records the first event of a call and by how much it was later than predicted, or earlier if negative. */
    void firstEventReceived(RequestId id, TrackedEndpoint endpoint, long delayMs) {
        long now = ticker.nanos();
        long lateMs = Math.max(0, delayMs);
        registry.prefillDone(id);
        registry.recordReached(id);
        if (endpoint.needsReport(delayMs, now)) {
            peerLoad.workRead(id, endpoint.registration().id(), lateMs);
        }
        endpoint.recordFirstEventDelay(lateMs, now);
        metrics.firstEventDelayed(endpoint.registration().service().value(), lateMs);
        capacityChanged();
    }

    void release(RequestId id) {
        registry.release(id);
        peerLoad.workEnded(id);
        capacityChanged();
    }

    /** Records a failure of the endpoint and reports it to the peers. */
    void endpointFailed(TrackedEndpoint endpoint) {
        endpoint.recordFailure(ticker.nanos());
        peerLoad.endpointFailed(endpoint.registration().id());
    }

    /** Records the silence of an endpoint, which may mean that its domain is cut off, and reports it to the peers. */
    void endpointSilent(TrackedEndpoint endpoint) {
        endpointFailed(endpoint);
        recordUnreachable(endpoint);
    }

    /** Records what a failed attempt says about the network path to the endpoint's domain. */
    void attemptFailed(TrackedEndpoint endpoint, CallFailure failure) {
        switch (failure.kind()) {
            case CONNECT -> recordUnreachable(endpoint);
            case REFUSED -> endpoint.domain().recordReached();
            default -> {}
        }
    }

    private void recordUnreachable(TrackedEndpoint endpoint) {
        if (endpoint.domain().recordUnreachable(endpoint.registration().id(), ticker.nanos())) {
            log.stateChanged(
                    "domain cut off", Map.entry("domain", endpoint.domain().id()));
            capacityChanged();
        }
    }

    void peerWorkRead(PeerMessage.WorkRead read) {
        registry.prefillDone(read.request());
        registry.find(read.endpoint()).ifPresent(e -> e.recordFirstEventDelay(read.delayMillis(), ticker.nanos()));
        capacityChanged();
    }

    void peerWorkEnded(RequestId id) {
        registry.release(id);
        capacityChanged();
    }

    /** Returns the proof of the view that the watcher keeps for this instance. */
    StoreProof storeProof(StoreWatcher watcher) {
        return StoreProof.of(watcher, storeFreshness, viewFreshness, this::configurationVersion);
    }

    /** Returns the number of groups of instances that exchange their work and evidence. */
    int groupCount() {
        return peerLoad.groupCount();
    }

    FailureDomain domain() {
        return options.domain();
    }

    InstanceId instance() {
        return options.instance();
    }

    EndpointRegistry registry() {
        return registry;
    }

    /** Returns the version of the configuration in force, or 0 if there is none yet. */
    long configurationVersion() {
        return catalog.map(Catalog::version).orElse(0L);
    }

    /** Sets the peer synchronization; not a constructor argument, since its listener refers to this object. */
    void setPeerLoad(PeerLoadSync sync) {
        peerLoad = sync;
    }

    /** Sets the quarantine; not a constructor argument, since it refers to this object. */
    void setCrashes(CrashQuarantine quarantine) {
        crashes = quarantine;
    }

    /** Sets the duties; not a constructor argument, since they refer to this object. */
    void setDuties(DutySync sync) {
        duties = Optional.of(sync);
    }

    /** Returns the duties; empty if the platform has none. */
    Optional<DutySync> duties() {
        return duties;
    }

    CrashQuarantine crashes() {
        return crashes;
    }

    /** Ends the calls that are refused from now on, unless an endpoint has begun to answer them. */
    void endQuarantinedCalls() {
        new ArrayList<>(running).forEach(Exchange::endIfQuarantined);
    }

    /** Queues a call that has just arrived and tries to place the queued calls in order. */
    void enqueueAndPlace(Exchange exchange, CallRequirements requirements, long arrivedNanos) {
        if (options.ordersEngines()) {
            catalog.flatMap(c -> c.service(requirements.service()))
                    .ifPresent(service -> demandMeter.arrived(requirements, service));
        }
        shares.recordArrival(requirements);
        waitQueue.add(exchange, requirements, arrivedNanos);
        placeWaitingCalls();
    }

    /** Decides where a call is sent, and counts it as unmet demand if it is refused. */
    PlacementDecision place(
            CallRequirements requirements,
            ServiceSpec service,
            Set<EndpointId> tried,
            double waitedMs,
            CustomerStanding standing) {
        PlacementDecision decision = scheduler.place(requirements, service, tried, waitedMs, standing);
        if (decision instanceof PlacementDecision.Refuse && options.ordersEngines()) {
            demandMeter.refused(service.name());
        }
        return decision;
    }

    /** Returns the demand for the services that are scaled, as this instance has seen it. */
    List<ServiceDemand> demand() {
        return demandMeter.report(waitQueue::size);
    }

    /** Queues a call that could not be placed. */
    void enqueue(Exchange exchange, CallRequirements requirements, long arrivedNanos) {
        waitQueue.add(exchange, requirements, arrivedNanos);
        schedulePlacement(PLACEMENT_RETRY_MS);
    }

    private void placeWaitingCalls() {
        waitQueue.dispatch(Exchange::place);
        if (waitQueue.size() > 0) {
            schedulePlacement(PLACEMENT_RETRY_MS);
        }
    }

    private void capacityChanged() {
        if (waitQueue.size() > 0) {
            // All instances learn of free capacity at the same time. The random delay lets the first one take it and
            // notify its peers before the others try.
            schedulePlacement(ThreadLocalRandom.current().nextLong(PLACEMENT_JITTER_MS));
        }
    }

    private void schedulePlacement(long delayMs) {
        if (!placementScheduled) {
            placementScheduled = true;
            loop.schedule(this::runScheduledPlacement, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void runScheduledPlacement() {
        placementScheduled = false;
        placeWaitingCalls();
    }

    /** Records a request that was rejected before it became a call. */
    void rejected(int status, String reason) {
        log.rejected(status, reason);
        metrics.rejected(status);
    }

    FullHttpResponse refusal(int status, String reason, Optional<RequestId> id, long retryAfterMs) {
        return Refusal.of(codec, status, reason, id, retryAfterMs);
    }

    @Override
    public void onWritten(String key, ControlEntry entry) {
        switch (entry) {
            case ControlEntry.Configuration c -> {
                c.unreadable()
                        .forEach(part ->
                                log.stateChanged("unreadable part of the configuration", Map.entry("part", part)));
                configure(c.catalog());
            }
            case ControlEntry.EndpointRegistration r -> {
                registry.register(r.endpoint());
                log.stateChanged(
                        "endpoint registered",
                        Map.entry("endpoint", r.endpoint().id()),
                        Map.entry("draining", r.endpoint().draining()),
                        Map.entry("cold_ms", r.endpoint().coldMs()));
                capacityChanged();
            }
            case ControlEntry.Evacuation e -> {
                registry.setEvacuated(e.domain(), true);
                log.stateChanged("domain taken out", Map.entry("domain", e.domain()));
            }
            case ControlEntry.Peer p -> peerLoad.peerListed(p);
            case ControlEntry.Quarantine c -> crashes.onStored(c.trait());
            case ControlEntry.EndpointCrash c -> crashes.onStoredCrash(c.endpoint(), c.suspects());
            case ControlEntry.DutyHolder h -> duties.ifPresent(d -> d.onWritten(h));
            case ControlEntry.UsageWindow w -> duties.ifPresent(d -> d.onWritten(w));
            case ControlEntry.Unreadable u ->
                log.stateChanged("unreadable entry", Map.entry("key", key), Map.entry("reason", u.reason()));
        }
    }

    private void configure(Catalog newCatalog) {
        if (catalog.isPresent() && newCatalog.version() < catalog.get().version()) {
            log.stateChanged("older configuration ignored", Map.entry("version", newCatalog.version()));
            return;
        }
        previousIdleTimeoutMs = limits().idleTimeoutMs();
        catalog = Optional.of(catalog.map(newCatalog::succeeding).orElse(newCatalog));
        log.stateChanged("configuration in force", Map.entry("version", newCatalog.version()));
        capacityChanged();
    }

    @Override
    public void onRemoved(String key, ControlEntry entry, long graceMs) {
        switch (entry) {
            case ControlEntry.EndpointRegistration r -> {
                registry.deregister(r.endpoint().id(), graceMs);
                log.stateChanged(
                        "endpoint gone",
                        Map.entry("endpoint", r.endpoint().id()),
                        Map.entry("seen_live", graceMs == 0),
                        Map.entry("grace_ms", graceMs));
            }
            case ControlEntry.Evacuation e -> {
                registry.setEvacuated(e.domain(), false);
                log.stateChanged("domain taken back", Map.entry("domain", e.domain()));
                capacityChanged();
            }
            case ControlEntry.Peer p -> peerLoad.peerUnlisted(p.instance(), graceMs == 0);
            case ControlEntry.EndpointCrash _ -> {
                // Crashes count longer at the instances than in the store.
            }
            case ControlEntry.Quarantine c -> {
                // Leases may expire early while the store is away; the quarantine then expires at this instance.
                if (graceMs == 0) {
                    crashes.onRemoved(c.trait());
                }
            }
            case ControlEntry.DutyHolder h -> duties.ifPresent(d -> d.onRemoved(h));
            case ControlEntry.UsageWindow w -> duties.ifPresent(d -> d.onRemoved(w));
            case ControlEntry.Configuration _ ->
                log.stateChanged("configuration deleted from the store; the last version stays in force");
            case ControlEntry.Unreadable _ -> log.stateChanged("unreadable entry removed", Map.entry("key", key));
        }
    }

    @Override
    public void onRestored(StorePosition last, StorePosition restored) {
        log.stateChanged("store restored", Map.entry("last", last), Map.entry("restored", restored));
    }

    @Override
    public void onConfirmed(long sentNanos) {
        storeFreshness.confirmAt(sentNanos);
        viewFreshness.confirmAt(sentNanos);
        metrics.storeReply(true);
        if (!storeReachable) {
            storeReachable = true;
            log.stateChanged("store reached");
        }
    }

    @Override
    public void onUnavailable(String reason) {
        metrics.storeReply(false);
        if (storeReachable) {
            storeReachable = false;
            log.stateChanged("store lost", Map.entry("reason", reason));
        }
    }
}
