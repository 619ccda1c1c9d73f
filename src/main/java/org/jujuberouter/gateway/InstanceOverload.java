package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.dispatch.LateCalls;
import org.jujuberouter.dispatch.LinkLag;
import org.jujuberouter.dispatch.LoopLag;
import org.jujuberouter.http.ClientCall;
import org.jujuberouter.http.ResponseListener;
import org.jujuberouter.misc.Ticker;

/** Measures the lag of this instance, which delays calls in addition to their engines, and rejects calls accordingly. */
final class InstanceOverload {
    /** Status of a call that has not run. */
    private static final int NOT_RUN_STATUS = 503;

    /** Time without a rejection after which the instance no longer counts as rejecting late calls. */
    private static final long REJECTING_ENDS_MS = 5_000;

    private final EventLoop loop;
    private final Ticker ticker;
    private final GatewayLog log;
    private final boolean enabled;
    private final LoopLag loopLag;
    private final LinkLag linkLag;
    private final LateCalls lateCalls;
    private long rejectedInPeriod;
    private long rejectedAt;

    private InstanceOverload(EventLoop loop, Ticker ticker, GatewayLog log, boolean enabled) {
        this.loop = loop;
        this.ticker = ticker;
        this.log = log;
        this.enabled = enabled;
        this.loopLag = LoopLag.of(ticker);
        this.linkLag = LinkLag.of(ticker);
        this.lateCalls = LateCalls.of(loopLag, linkLag);
    }

    /** Starts the measurement; it has consequences only if those are enabled. */
    static InstanceOverload start(
            EventLoop loop, Ticker ticker, GatewayLog log, GatewayMetrics metrics, boolean enabled) {
        InstanceOverload overload = new InstanceOverload(loop, ticker, log, enabled);
        metrics.gauge("loop_lag_ms", () -> Math.round(overload.loopLag.ms()));
        metrics.gauge("link_lag_ms", () -> Math.round(overload.linkLag.delayMs(LinkLag.MIN_MEASURED_BYTES)));
        metrics.gauge("request_bytes_unsent", overload.linkLag::unsentBytes);
        loop.scheduleWithFixedDelay(overload::measure, LoopLag.INTERVAL_MS, LoopLag.INTERVAL_MS, TimeUnit.MILLISECONDS);
        return overload;
    }

    private void measure() {
        loopLag.timerRan();
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
                    Map.entry("link_lag_ms", Math.round(linkLag.delayMs(LinkLag.MIN_MEASURED_BYTES))));
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
}
