package org.jujuberouter.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.jujuberouter.misc.FatalErrors;
import org.jujuberouter.telemetry.LabelledMetrics;

/** Serves readiness or metrics of this instance; the method and path of the request are ignored. */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Gateway gateway;
    private final Supplier<StatusResponse> responseSupplier;

    private record StatusResponse(HttpResponseStatus status, String text) {}

    private StatusHandler(Gateway gateway, Supplier<StatusResponse> responseSupplier) {
        this.gateway = gateway;
        this.responseSupplier = responseSupplier;
    }

    /** Returns a handler for readiness probes: 200 if the instance accepts new connections, else 503. */
    static StatusHandler readiness(Gateway gateway) {
        return new StatusHandler(
                gateway,
                () -> new StatusResponse(
                        gateway.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
    }

    /** Returns a handler that renders the metrics of this instance. */
    static StatusHandler metrics(Gateway gateway) {
        return new StatusHandler(
                gateway,
                () -> new StatusResponse(
                        HttpResponseStatus.OK, gateway.metrics().render()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        StatusResponse result = responseSupplier.get();
        byte[] text = result.text.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, LabelledMetrics.CONTENT_TYPE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        ctx.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.report(cause);
        if (!(cause instanceof java.io.IOException)) {
            gateway.log().fault("unhandled exception on a readiness or metrics connection", cause);
        }
        ctx.close();
    }
}
