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
import org.jujuberouter.telemetry.LabelledMetrics;

/** Answers each small request about this instance in the same way, whatever it asks for. */
final class StatusHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Gateway gateway;
    private final Supplier<StatusResponse> answer;

    /** Status and text of an answer. */
    private record StatusResponse(HttpResponseStatus status, String text) {}

    private StatusHandler(Gateway gateway, Supplier<StatusResponse> answer) {
        this.gateway = gateway;
        this.answer = answer;
    }

    /** Answers whether the platform should send new connections here. */
    static StatusHandler readiness(Gateway gateway) {
        return new StatusHandler(
                gateway,
                () -> new StatusResponse(
                        gateway.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, ""));
    }

    /** Answers with the metrics of this instance. */
    static StatusHandler metrics(Gateway gateway) {
        return new StatusHandler(
                gateway,
                () -> new StatusResponse(
                        HttpResponseStatus.OK, gateway.metrics().render()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        StatusResponse result = answer.get();
        byte[] text = result.text.getBytes(StandardCharsets.UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, LabelledMetrics.CONTENT_TYPE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        ctx.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            gateway.log().fault("connection for readiness or metrics", cause);
        }
        ctx.close();
    }
}
