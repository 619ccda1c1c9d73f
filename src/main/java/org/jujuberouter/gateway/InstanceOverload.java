package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.dispatch.LinkLag;
import org.jujuberouter.dispatch.LoopLag;
import org.jujuberouter.http.ClientCall;
import org.jujuberouter.http.ResponseListener;
import org.jujuberouter.misc.Ticker;

/** Measures the lag of this instance, which delays calls in addition to their engines. */
final class InstanceOverload {
    private final EventLoop loop;
    private final LoopLag loopLag;
    private final LinkLag linkLag;

    private InstanceOverload(EventLoop loop, Ticker ticker) {
        this.loop = loop;
        this.loopLag = LoopLag.of(ticker);
        this.linkLag = LinkLag.of(ticker);
    }

    /** Starts the measurement. */
    static InstanceOverload start(EventLoop loop, Ticker ticker, GatewayMetrics metrics) {
        InstanceOverload overload = new InstanceOverload(loop, ticker);
        metrics.gauge("loop_lag_ms", () -> Math.round(overload.loopLag.ms()));
        metrics.gauge("link_lag_ms", () -> Math.round(overload.linkLag.delayMs(LinkLag.MIN_MEASURED_BYTES)));
        metrics.gauge("request_bytes_unsent", overload.linkLag::unsentBytes);
        loop.scheduleWithFixedDelay(
                overload.loopLag::timerRan, LoopLag.INTERVAL_MS, LoopLag.INTERVAL_MS, TimeUnit.MILLISECONDS);
        return overload;
    }

    /** Sends a request to an endpoint and measures how long the link takes for it. */
    ClientCall send(
            InetSocketAddress address, int connectTimeoutMs, FullHttpRequest request, ResponseListener listener) {
        return ClientCall.send(loop, address, connectTimeoutMs, request, listener, bytes -> linkLag.begin(bytes)::end);
    }
}
