package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.dispatch.LateCalls;
import org.jujuberouter.dispatch.LinkLag;
import org.jujuberouter.dispatch.LoopLag;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.http.ClientCall;
import org.jujuberouter.http.ResponseListener;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/** Measures the lag of this instance, which delays calls in addition to their engines, and limits its calls accordingly. */
final class InstanceOverload {
    /** Status of a call that has not run. */
    private static final int NOT_RUN_STATUS = 503;

    /** Time without a rejection after which the instance no longer counts as rejecting late calls. */
    private static final long REJECTING_ENDS_MS = 5_000;

    private final EventLoop loop;
    private final Ticker ticker;
    private final GatewayLog log;
    private final GatewayOptions options;
    private final boolean enabled;
    private final LoopLag loopLag;
    private final LinkLag linkLag;
    private final LateCalls lateCalls;
    private final ReadinessSync readiness;
    private long rejectedInPeriod;
    private long rejectedAt;

    private InstanceOverload(Gateway gateway, GatewayOptions options, StoreFreshness view) {
        this.loop = gateway.loop();
        this.ticker = gateway.ticker();
        this.log = gateway.log();
        this.options = options;
        this.enabled = options.features().overload();
        this.loopLag = enabled ? LoopLag.of(ticker) : LoopLag.observedOnly(ticker);
        this.linkLag = LinkLag.of(ticker);
        this.lateCalls = LateCalls.of(loopLag, linkLag);
        this.readiness = ReadinessSync.of(options.instance(), ticker, log, gateway.metrics(), view);
    }

    /** Starts the measurement; it has consequences only if those are enabled. */
    static InstanceOverload start(Gateway gateway, GatewayOptions options, StoreFreshness view) {
        InstanceOverload overload = new InstanceOverload(gateway, options, view);
        GatewayMetrics metrics = gateway.metrics();
        metrics.gauge("loop_lag_ms", () -> Math.round(overload.loopLag.ms()));
        metrics.gauge("link_lag_ms", () -> Math.round(overload.linkDelayMs()));
        metrics.gauge("request_bytes_unsent", overload.linkLag::unsentBytes);
        overload.scheduleMeasurement();
        return overload;
    }

    private double linkDelayMs() {
        return linkLag.delayMs(LinkLag.MIN_MEASURED_BYTES);
    }

    private void scheduleMeasurement() {
        if (!loop.isShuttingDown()) {
            loop.schedule(this::measure, loopLag.intervalMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void measure() {
        loopLag.timerRan();
        scheduleMeasurement();
        if (!enabled) {
            return;
        }
        readiness.measured(lateCalls.delayMs(LinkLag.MIN_MEASURED_BYTES));
        long sinceRejectionMs = TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - rejectedAt);
        if (rejectedInPeriod > 0 && sinceRejectionMs > REJECTING_ENDS_MS) {
            log.stateChanged("no longer rejects late calls", Map.entry("rejected", rejectedInPeriod));
            rejectedInPeriod = 0;
        }
    }

    /** Rejects an admitted call that the lag of this instance alone would make late. */
    Admission check(Admission admission, long bytes) {
        if (!enabled || !(admission instanceof Admission.Admitted admitted)) {
            return admission;
        }
        long objectiveMs = admitted.route().objectiveMs();
        if (!lateCalls.isLate(bytes, objectiveMs)) {
            return admission;
        }
        rejectedAt = ticker.nanos();
        if (rejectedInPeriod++ == 0) {
            log.stateChanged(
                    "rejects late calls",
                    Map.entry("loop_lag_ms", Math.round(loopLag.ms())),
                    Map.entry("link_lag_ms", Math.round(linkDelayMs())));
        }
        return new Admission.Rejected(
                NOT_RUN_STATUS,
                "the instance lags: it would add " + Math.round(lateCalls.delayMs(bytes)) + " ms to an objective of "
                        + objectiveMs + " ms",
                lateCalls.retryAfterMs(bytes, ThreadLocalRandom.current().nextDouble()));
    }

    /** Returns whether new calls start after all other events that the event loop has found ready. */
    boolean startsNewCallsLast() {
        return enabled && lateCalls.startsNewCallsLast();
    }

    /** Sends a request to an endpoint and measures how long the link takes for it. */
    ClientCall send(
            InetSocketAddress address, int connectTimeoutMs, FullHttpRequest request, ResponseListener listener) {
        return ClientCall.send(loop, address, connectTimeoutMs, request, listener, bytes -> linkLag.begin(bytes)::end);
    }

    /** Returns whether the lag allows this instance to report that it is ready. */
    boolean isReady() {
        return readiness.isReady();
    }

    /** Sets the listed peers of the group and the domains of the listed instances. */
    void setGroup(Set<InstanceId> members, Map<InstanceId, FailureDomain> domains, ReadinessSync.Peers peers) {
        Set<InstanceId> group = new HashSet<>(members);
        group.add(options.instance());
        readiness.setGroup(group, domains, peers);
    }

    /** Returns for how long a peer may be unready; 0 if it may not. */
    long grant(InstanceId asking, long wantedMs) {
        return enabled ? readiness.grant(asking, wantedMs) : 0;
    }

    /** Handles the answer of a peer, which may let this instance be unready. */
    void onReport(PeerMessage.ContactReport report) {
        readiness.onReport(report);
    }

    /** Tells the granting instance of the group that this one is stopping. */
    void stopping() {
        if (enabled) {
            readiness.announceStop(options.bounds().stopMs());
        }
    }
}
