package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.StoreListener;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.dispatch.Allocation;
import org.jujuberouter.dispatch.CallQueue;
import org.jujuberouter.dispatch.CallRequirements;
import org.jujuberouter.dispatch.CallScheduler;
import org.jujuberouter.dispatch.EndpointRegistry;
import org.jujuberouter.dispatch.RetryLimiter;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.dispatch.TrackedEndpoint;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/** What one instance knows, and the calls that it serves; used on its event loop only. */
final class Gateway implements StoreListener {
    /** Pause between two looks for a place, which bounds how late a change that nobody tells is noticed. */
    private static final long LOOK_AGAIN_MS = 10;

    /** Time over which instances spread their look at a place that became free. */
    private static final long LOOK_SPREAD_MS = 9;

    private final GatewayOptions options;
    private final EventLoop loop;
    private final CallForm form;
    private final MemoryOrders orders;
    private final Ticker ticker = Ticker.system();
    private final GatewayLog log;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final StoreFreshness contact;
    private final EndpointRegistry fleet = EndpointRegistry.empty(ticker);
    private final CallScheduler placer = CallScheduler.on(fleet, ticker);
    private final Map<ServiceName, RetryLimiter> retries = new HashMap<>();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Set<Exchange> running = new HashSet<>();
    private final CallQueue<Exchange> line = CallQueue.empty(ticker);
    private PeerShare share;
    private Optional<Catalog> catalog = Optional.empty();
    private long previousIdleTimeoutMs;
    private boolean lookPlanned;
    private boolean stopping;
    private boolean inContact;

    Gateway(GatewayOptions options, EventLoop loop, CallForm form, MemoryOrders orders) {
        this.orders = orders;
        this.options = options;
        this.loop = loop;
        this.form = form;
        this.log = GatewayLog.create();
        this.contact = StoreFreshness.of(
                ticker,
                () -> TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()),
                options.bounds().withdrawalMs());
        metrics.gauge("calls_running", running::size);
        metrics.gauge("calls_waiting", line::size);
        metrics.gauge("caller_connections", connections::size);
        metrics.gauge("peers_known", () -> share.peers());
        metrics.gauge("endpoints_known", fleet::size);
        metrics.gauge("endpoints_avoided", fleet::backedOffCount);
        metrics.gauge("configuration_version", this::configuration);
        metrics.gauge("store_contact_age_ms", contact::ageMs);
        Runtime runtime = Runtime.getRuntime();
        metrics.gauge("heap_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    EventLoop loop() {
        return loop;
    }

    Ticker ticker() {
        return ticker;
    }

    CallForm form() {
        return form;
    }

    MemoryOrders orders() {
        return orders;
    }

    GatewayLog log() {
        return log;
    }

    StoreFreshness contact() {
        return contact;
    }

    CallScheduler placer() {
        return placer;
    }

    Optional<Catalog> catalog() {
        return catalog;
    }

    CallerLimits limits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.defaults());
    }

    /** Returns the idle timeout, which a newer configuration shortens only for connections opened after it. */
    long idleTimeoutMs() {
        return Math.max(previousIdleTimeoutMs, limits().idleTimeoutMs());
    }

    boolean isStopping() {
        return stopping;
    }

    /** Tells whether the platform should send new connections here. */
    boolean isReady() {
        return !stopping && catalog.isPresent() && contact.isCurrent();
    }

    int runningCalls() {
        return running.size();
    }

    /** Takes no more new work from the platform; what callers still send on open connections is served. */
    void stop() {
        stopping = true;
        log.belief("stopping", Map.entry("running", running.size()), Map.entry("connections", connections.size()));
    }

    void closeIdleConnections() {
        for (CallerConnection c : new ArrayList<>(connections)) {
            if (c.isIdle()) {
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

    Exchange exchange(CallerConnection caller, HttpRequest head, ByteBuf body) {
        Exchange made = new Exchange(this, caller, head, body);
        running.add(made);
        return made;
    }

    void finished(Exchange exchange) {
        running.remove(exchange);
        line.remove(exchange);
    }

    RetryLimiter retries(ServiceName service) {
        return retries.computeIfAbsent(
                service,
                _ -> RetryLimiter.of(
                        ticker,
                        options.bounds().retryWindowMs(),
                        options.bounds().retryRatio(),
                        options.bounds().retrySlack()));
    }

    boolean tryRetry(ServiceName service) {
        boolean allowed = retries(service).tryAcquire(share.peers() + 1);
        metrics.retry(service.value(), allowed);
        return allowed;
    }

    void start(List<Allocation> works, long leftMs) {
        fleet.allocate(works);
        share.started(works, leftMs);
    }

    /** Notes the first event of a call, which came later than planned by the given time. */
    void readDone(RequestId id, TrackedEndpoint at, long delayMs) {
        fleet.prefillDone(id);
        at.recordFirstEventDelay(delayMs, ticker.nanos());
        metrics.delayedBeyondPlan(at.registration().service().value(), delayMs);
        share.read(id, at.registration().id(), delayMs);
        somethingChanged();
    }

    void end(RequestId id) {
        fleet.release(id);
        share.ended(id);
        somethingChanged();
    }

    /** Notes a failed call, here and at the peers. */
    void endpointFailed(TrackedEndpoint endpoint) {
        endpoint.recordFailure(ticker.nanos());
        share.failed(endpoint.registration().id());
    }

    void peerRead(PeerMessage.WorkRead read) {
        fleet.prefillDone(read.request());
        fleet.find(read.endpoint()).ifPresent(e -> e.recordFirstEventDelay(read.delayMillis(), ticker.nanos()));
        somethingChanged();
    }

    void peerEnded(RequestId id) {
        fleet.release(id);
        somethingChanged();
    }

    /** A peer's view with the same configuration proves that the one here was in force when the peer's view was current. */
    void peerContact(PeerMessage.ContactReport report) {
        if (report.configuration() == configuration()) {
            contact.confirmAt(report.askedNanos() - TimeUnit.MILLISECONDS.toNanos(report.ageMillis() + 1));
        }
    }

    EndpointRegistry fleet() {
        return fleet;
    }

    /** Returns the version of the configuration in force, or 0 where none is known. */
    long configuration() {
        return catalog.map(Catalog::version).orElse(0L);
    }

    /** Connects the peers, whose listener needs this one to be made. */
    void attach(PeerShare peerShare) {
        share = peerShare;
    }

    /** Looks for a place for a call that has just arrived, in its turn among those that wait. */
    void placeInTurn(Exchange exchange, CallRequirements demand, long arrivedNanos) {
        line.add(exchange, demand, arrivedNanos);
        lookForPlaces();
    }

    /** Lets a call wait until something has changed. */
    void waitForPlace(Exchange exchange, CallRequirements demand, long arrivedNanos) {
        line.add(exchange, demand, arrivedNanos);
        planLook(LOOK_AGAIN_MS);
    }

    private void lookForPlaces() {
        line.dispatch(Exchange::place);
        if (line.size() > 0) {
            planLook(LOOK_AGAIN_MS);
        }
    }

    private void somethingChanged() {
        if (line.size() > 0) {
            // All instances hear of a free place at once; the first to take it is heard of before the next one looks.
            planLook(ThreadLocalRandom.current().nextLong(LOOK_SPREAD_MS));
        }
    }

    private void planLook(long delayMs) {
        if (!lookPlanned) {
            lookPlanned = true;
            loop.schedule(this::lookAgain, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void lookAgain() {
        lookPlanned = false;
        lookForPlaces();
    }

    /** Notes a request that did not become a call. */
    void rejected(int status, String reason) {
        log.rejected(status, reason);
        metrics.rejected(status);
    }

    FullHttpResponse refusal(int status, String reason, Optional<RequestId> id, long retryAfterMs) {
        byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        form.writeRefusal(
                response.headers(), id, retryAfterMs < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMs));
        return response;
    }

    @Override
    public void onWritten(String key, ControlEntry fact) {
        switch (fact) {
            case ControlEntry.Configuration c -> configure(c.catalog());
            case ControlEntry.EndpointRegistration r -> {
                fleet.register(r.endpoint());
                log.belief(
                        "endpoint registered",
                        Map.entry("endpoint", r.endpoint().id()),
                        Map.entry("draining", r.endpoint().draining()),
                        Map.entry("cold_ms", r.endpoint().coldMs()));
                somethingChanged();
            }
            case ControlEntry.Evacuation e -> {
                fleet.setEvacuated(e.domain(), true);
                log.belief("domain taken out", Map.entry("domain", e.domain()));
            }
            case ControlEntry.Peer p -> share.listed(p.instance(), p.address());
            case ControlEntry.Unreadable u ->
                log.belief("unreadable entry", Map.entry("key", key), Map.entry("reason", u.reason()));
        }
    }

    private void configure(Catalog newer) {
        if (catalog.isPresent() && newer.version() < catalog.get().version()) {
            log.belief("older configuration ignored", Map.entry("version", newer.version()));
            return;
        }
        previousIdleTimeoutMs = limits().idleTimeoutMs();
        catalog = Optional.of(newer);
        log.belief("configuration in force", Map.entry("version", newer.version()));
        somethingChanged();
    }

    @Override
    public void onRemoved(String key, ControlEntry fact, boolean seenLive) {
        switch (fact) {
            case ControlEntry.EndpointRegistration r -> {
                fleet.deregister(r.endpoint().id(), seenLive ? 0 : StoreWatcher.RECONNECT_GRACE_MS);
                log.belief("endpoint gone", Map.entry("endpoint", r.endpoint().id()), Map.entry("seen_live", seenLive));
            }
            case ControlEntry.Evacuation e -> {
                fleet.setEvacuated(e.domain(), false);
                log.belief("domain taken back", Map.entry("domain", e.domain()));
                somethingChanged();
            }
            case ControlEntry.Peer p -> share.notListed(p.instance(), seenLive);
            case ControlEntry.Configuration _ -> log.belief("configuration removed; the last one stays in force");
            case ControlEntry.Unreadable _ -> log.belief("unreadable entry gone", Map.entry("key", key));
        }
    }

    @Override
    public void onConfirmed(long sentNanos) {
        contact.confirmAt(sentNanos);
        metrics.store(true);
        if (!inContact) {
            inContact = true;
            log.belief("store reached");
        }
    }

    @Override
    public void onUnavailable(String reason) {
        metrics.store(false);
        if (inContact) {
            inContact = false;
            log.belief("store lost", Map.entry("reason", reason));
        }
    }
}
