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
import org.jujuberouter.control.ControlFact;
import org.jujuberouter.control.FeedListener;
import org.jujuberouter.control.StoreFeed;
import org.jujuberouter.dispatch.Demand;
import org.jujuberouter.dispatch.EndpointState;
import org.jujuberouter.dispatch.Fleet;
import org.jujuberouter.dispatch.Placer;
import org.jujuberouter.dispatch.RetryAllowance;
import org.jujuberouter.dispatch.StoreContact;
import org.jujuberouter.dispatch.WaitingLine;
import org.jujuberouter.dispatch.Work;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/** What one instance knows, and the calls that it serves; used on its event loop only. */
final class Gateway implements FeedListener {
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
    private final StoreContact contact;
    private final Fleet fleet = Fleet.empty(ticker);
    private final Placer placer = Placer.on(fleet, ticker);
    private final Map<ServiceName, RetryAllowance> retries = new HashMap<>();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final Set<Exchange> running = new HashSet<>();
    private final WaitingLine<Exchange> line = WaitingLine.empty(ticker);
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
        this.contact = StoreContact.of(
                ticker,
                () -> TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()),
                options.bounds().withdrawalMs());
        metrics.gauge("calls_running", running::size);
        metrics.gauge("calls_waiting", line::size);
        metrics.gauge("caller_connections", connections::size);
        metrics.gauge("peers_known", () -> share.peers());
        metrics.gauge("endpoints_known", fleet::size);
        metrics.gauge("endpoints_avoided", fleet::avoided);
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

    StoreContact contact() {
        return contact;
    }

    Placer placer() {
        return placer;
    }

    Optional<Catalog> catalog() {
        return catalog;
    }

    CallerLimits limits() {
        return catalog.map(Catalog::limits).orElse(CallerLimits.initial());
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

    RetryAllowance retries(ServiceName service) {
        return retries.computeIfAbsent(
                service,
                _ -> RetryAllowance.of(
                        ticker,
                        options.bounds().retryWindowMs(),
                        options.bounds().retryRatio(),
                        options.bounds().retrySlack()));
    }

    boolean tryRetry(ServiceName service) {
        boolean allowed = retries(service).tryRetry(share.peers() + 1);
        metrics.retry(service.value(), allowed);
        return allowed;
    }

    void start(List<Work> works, long leftMs) {
        fleet.start(works);
        share.started(works, leftMs);
    }

    /** Notes the first event of a call, which came later than planned by the given time. */
    void readDone(RequestId id, EndpointState at, long delayMs) {
        fleet.readDone(id);
        at.firstEventLate(delayMs, ticker.nanos());
        metrics.delayedBeyondPlan(at.endpoint().service().value(), delayMs);
        share.read(id, at.endpoint().id(), delayMs);
        somethingChanged();
    }

    void end(RequestId id) {
        fleet.end(id);
        share.ended(id);
        somethingChanged();
    }

    /** Notes a failed call, here and at the peers. */
    void endpointFailed(EndpointState endpoint) {
        endpoint.failed(ticker.nanos());
        share.failed(endpoint.endpoint().id());
    }

    void peerRead(PeerMessage.WorkRead read) {
        fleet.readDone(read.request());
        fleet.find(read.endpoint()).ifPresent(e -> e.firstEventLate(read.delayMillis(), ticker.nanos()));
        somethingChanged();
    }

    void peerEnded(RequestId id) {
        fleet.end(id);
        somethingChanged();
    }

    /** A peer's view with the same configuration proves that the one here was in force when the peer's view was current. */
    void peerContact(PeerMessage.ContactReport report) {
        if (report.configuration() == configuration()) {
            contact.proved(report.queryNanos() - TimeUnit.MILLISECONDS.toNanos(report.ageMillis() + 1));
        }
    }

    Fleet fleet() {
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
    void placeInTurn(Exchange exchange, Demand demand, long arrivedNanos) {
        line.add(exchange, demand, arrivedNanos);
        lookForPlaces();
    }

    /** Lets a call wait until something has changed. */
    void waitForPlace(Exchange exchange, Demand demand, long arrivedNanos) {
        line.add(exchange, demand, arrivedNanos);
        planLook(LOOK_AGAIN_MS);
    }

    private void lookForPlaces() {
        line.look(Exchange::place);
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
    public void onFact(String key, ControlFact fact) {
        switch (fact) {
            case ControlFact.Configuration c -> configure(c.catalog());
            case ControlFact.Registration r -> {
                fleet.put(r.endpoint());
                log.belief(
                        "endpoint registered",
                        Map.entry("endpoint", r.endpoint().id()),
                        Map.entry("draining", r.endpoint().draining()),
                        Map.entry("cold_ms", r.endpoint().coldMs()));
                somethingChanged();
            }
            case ControlFact.Evacuation e -> {
                fleet.setEvacuated(e.domain(), true);
                log.belief("domain taken out", Map.entry("domain", e.domain()));
            }
            case ControlFact.Peer p -> share.listed(p.instance(), p.address());
            case ControlFact.Unreadable u ->
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
    public void onRemoved(String key, ControlFact fact, boolean seenLive) {
        switch (fact) {
            case ControlFact.Registration r -> {
                fleet.remove(r.endpoint().id(), seenLive ? 0 : StoreFeed.RETURN_GRACE_MS);
                log.belief("endpoint gone", Map.entry("endpoint", r.endpoint().id()), Map.entry("seen_live", seenLive));
            }
            case ControlFact.Evacuation e -> {
                fleet.setEvacuated(e.domain(), false);
                log.belief("domain taken back", Map.entry("domain", e.domain()));
                somethingChanged();
            }
            case ControlFact.Peer p -> share.notListed(p.instance(), seenLive);
            case ControlFact.Configuration _ -> log.belief("configuration removed; the last one stays in force");
            case ControlFact.Unreadable _ -> log.belief("unreadable entry gone", Map.entry("key", key));
        }
    }

    @Override
    public void onContact(long sentNanos) {
        contact.proved(sentNanos);
        metrics.store(true);
        if (!inContact) {
            inContact = true;
            log.belief("store reached");
        }
    }

    @Override
    public void onContactLost(String reason) {
        metrics.store(false);
        if (inContact) {
            inContact = false;
            log.belief("store lost", Map.entry("reason", reason));
        }
    }
}
