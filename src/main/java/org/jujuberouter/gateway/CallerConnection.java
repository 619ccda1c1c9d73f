package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.CallerLimits;

/**
 * One connection of a caller: buffers one complete request at a time and writes its response.
 *
 * <p>Reading continues while a call runs, so that a disconnect of the caller is detected at once. A truncated response
 * is ended by closing the connection, never by the final chunk of a complete one.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_PARTS = 64;
    private static final FullHttpResponse CONTINUE =
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);

    private final Gateway gateway;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private HttpRequest head;
    private CompositeByteBuf body;
    private Exchange exchange;
    private boolean keepAlive = true;
    private boolean discarding;
    private boolean startPending;
    private ScheduledFuture<?> timer;
    private long idleSinceNanos;

    CallerConnection(Gateway gateway) {
        this.gateway = gateway;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        gateway.opened(this);
        startIdleTimer();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        releaseRequest();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        gateway.closed(this);
        if (exchange != null) {
            Exchange cancelled = exchange;
            exchange = null;
            cancelled.callerDisconnected();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (exchange != null) {
            exchange.callerWritable(ctx.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            gateway.log().fault("unhandled exception on a caller connection", cause);
        }
        ctx.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject part = (HttpObject) message;
        if (isResponding()) {
            pipelined.add(part);
            if (pipelined.size() > MAX_PIPELINED_PARTS) {
                ctx.channel().config().setAutoRead(false);
            }
            return;
        }
        handlePart(part);
    }

    private void handlePart(HttpObject part) {
        try {
            if (discarding) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                refuseMalformed(part.decoderResult().cause());
                return;
            }
            if (part instanceof HttpRequest request) {
                beginRequest(request);
            }
            if (part instanceof HttpContent content && head != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private void beginRequest(HttpRequest request) {
        CallerLimits limits = gateway.limits();
        head = request;
        body = Unpooled.compositeBuffer(1024);
        keepAlive = HttpUtil.isKeepAlive(request);
        startBodyTimer();
        if (HttpUtil.isContentLengthSet(request) && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            rejectAndClose(400, "both Content-Length and Transfer-Encoding");
        } else if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuseBody(limits);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(CONTINUE.retainedDuplicate());
        }
    }

    private void appendBody(HttpContent content) {
        if (content.content().isReadable()) {
            CallerLimits limits = gateway.limits();
            if (body.readableBytes() + content.content().readableBytes() > limits.maxBodyBytes()) {
                refuseBody(limits);
                return;
            }
            body.addComponent(true, content.content().retain());
            startBodyTimer();
        }
        if (content instanceof LastHttpContent) {
            stopTimer();
            if (gateway.overload().startsNewCallsLast()) {
                startPending = true;
                context.executor().execute(this::startCall);
            } else {
                startCall();
            }
        }
    }

    /** Starts the call of the request that has been read, unless the connection was closed meanwhile. */
    private void startCall() {
        startPending = false;
        if (head != null) {
            HttpRequest request = head;
            ByteBuf completeBody = body;
            head = null;
            body = null;
            exchange = gateway.newExchange(this, request, completeBody);
            exchange.start();
        }
    }

    private void startBodyTimer() {
        startTimer(
                gateway.limits().headerTimeoutMs() * 2, () -> rejectAndClose(408, "the body did not arrive in time"));
    }

    private void refuseBody(CallerLimits limits) {
        rejectAndClose(413, "the body is larger than " + limits.maxBodyBytes() + " bytes");
    }

    private void refuseMalformed(Throwable cause) {
        boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        rejectAndClose(tooLarge ? 431 : 400, String.valueOf(cause.getMessage()));
    }

    /** Rejects a request and closes the connection, since the rest of the request is not read. */
    private void rejectAndClose(int status, String reason) {
        discarding = true;
        gateway.rejected(status, reason);
        FullHttpResponse response = gateway.refusal(status, reason, java.util.Optional.empty(), -1);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        releaseRequest();
        stopTimer();
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes a complete response. */
    void writeResponse(FullHttpResponse response) {
        boolean close = closesAfterResponse();
        setConnection(response, close);
        context.writeAndFlush(response).addListener(f -> responseWritten(close));
    }

    /** Writes the head of a response whose body follows in chunks. */
    void writeHead(HttpResponse response) {
        setConnection(response, closesAfterResponse());
        keepAlive = keepAlive
                && !response.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
        context.writeAndFlush(response);
    }

    /** Writes a chunk and takes ownership of the buffer; returns whether the channel is still writable. */
    boolean writeChunk(ByteBuf bytes) {
        context.writeAndFlush(new DefaultHttpContent(bytes));
        return context.channel().isWritable();
    }

    /** Ends a complete response. */
    void endResponse() {
        boolean close = closesAfterResponse();
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(f -> responseWritten(close));
    }

    /** Closes the connection in the middle of a response. */
    void abort() {
        exchange = null;
        context.close();
    }

    /** Returns whether a request has been read whose response has not been written to its end. */
    boolean isResponding() {
        return exchange != null || startPending;
    }

    private boolean isIdle() {
        return exchange == null && head == null;
    }

    void close() {
        if (context != null) {
            context.close();
        }
    }

    private boolean closesAfterResponse() {
        return !keepAlive || gateway.stopSchedule().isStopping();
    }

    private static void setConnection(HttpResponse response, boolean close) {
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        } else {
            response.headers().remove(HttpHeaderNames.CONNECTION);
        }
    }

    private void responseWritten(boolean close) {
        exchange = null;
        if (close) {
            context.close();
            return;
        }
        startIdleTimer();
        context.channel().config().setAutoRead(true);
        while (!isResponding() && !pipelined.isEmpty()) {
            handlePart(pipelined.poll());
        }
    }

    /** Returns whether the connection has been open without a request for the given time. */
    boolean isIdleFor(long millis) {
        return isIdle() && gateway.ticker().nanos() - idleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void startIdleTimer() {
        idleSinceNanos = gateway.ticker().nanos();
        startTimer(gateway.idleTimeoutMs(), () -> {
            if (isIdle()) {
                context.close();
            }
        });
    }

    private void startTimer(long millis, Runnable action) {
        stopTimer();
        timer = context.executor().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void releaseRequest() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
