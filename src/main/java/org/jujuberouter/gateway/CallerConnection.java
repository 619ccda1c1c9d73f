package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.misc.FatalErrors;

/**
 * One connection of a caller: buffers one complete request at a time and writes its response.
 *
 * <p>Reading continues while a call runs, so that a disconnect of the caller is detected at once. A truncated response
 * is ended by closing the connection, never by the final chunk of a complete one.
 *
 * <p>A body that does not fit into the budget of the instance is refused before it is read if its length is known. The
 * rest of it is read and dropped, because closing a connection with unread bytes resets it, and the caller could then
 * lose the response.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_PARTS = 64;

    /** An instance that holds many large prompts ends one every few hundred milliseconds. */
    private static final long RETRY_AFTER_MS = 500;

    /** Range of a random addition, so that callers refused together do not return together. */
    private static final long RETRY_SPREAD_MS = 500;

    private static final FullHttpResponse CONTINUE =
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);

    private final Gateway gateway;
    private final BodyBudget bodies;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private final BodyBudget.Account pipelinedBytes;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private RequestBody body;
    private Exchange exchange;
    private boolean keepAlive = true;
    private boolean discarding;
    private Optional<ChannelFuture> refusalWritten = Optional.empty();
    private boolean startPending;
    private ScheduledFuture<?> timer;
    private long idleSinceNanos;

    CallerConnection(Gateway gateway, BodyBudget bodies) {
        this.gateway = gateway;
        this.bodies = bodies;
        this.pipelinedBytes = bodies.open();
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
        releasePipelined();
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
        FatalErrors.report(cause);
        if (!(cause instanceof java.io.IOException)) {
            gateway.log().fault("unhandled exception on a caller connection", cause);
        }
        ctx.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        HttpObject part = (HttpObject) message;
        if (isResponding()) {
            queuePipelined(part);
            return;
        }
        handlePart(part);
    }

    /** Queues a part of a later request; if its bytes do not fit, the connection is closed after the response. */
    private void queuePipelined(HttpObject part) {
        if (discarding) {
            ReferenceCountUtil.release(part);
            return;
        }
        HttpObject queued = part;
        if (part instanceof HttpContent content && content.content().isReadable()) {
            if (!pipelinedBytes.resize(
                    pipelinedBytes.bytes() + content.content().readableBytes())) {
                content.release();
                discarding = true;
                keepAlive = false;
                releasePipelined();
                return;
            }
            queued = content.replace(Unpooled.copiedBuffer(content.content()));
            content.release();
        }
        pipelined.add(queued);
        if (pipelined.size() > MAX_PIPELINED_PARTS) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void handlePipelined(HttpObject part) {
        if (part instanceof HttpContent content) {
            pipelinedBytes.resize(pipelinedBytes.bytes() - content.content().readableBytes());
        }
        handlePart(part);
    }

    private void releasePipelined() {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        pipelinedBytes.close();
    }

    private void handlePart(HttpObject part) {
        try {
            if (discarding) {
                if (part instanceof LastHttpContent) {
                    refusalWritten.ifPresent(f -> f.addListener(ChannelFutureListener.CLOSE));
                }
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
        body = RequestBody.in(bodies);
        keepAlive = HttpUtil.isKeepAlive(request);
        startBodyTimer();
        if (HttpUtil.isContentLengthSet(request) && request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            rejectAndClose(400, "both Content-Length and Transfer-Encoding");
        } else if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes(limits)) {
            refuseBody(limits);
        } else if (!body.reserve(HttpUtil.getContentLength(request, 0L))) {
            refuseForMemory();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(CONTINUE.retainedDuplicate());
        }
    }

    private void appendBody(HttpContent content) {
        if (content.content().isReadable()) {
            CallerLimits limits = gateway.limits();
            if (body.readableBytes() + content.content().readableBytes() > maxBodyBytes(limits)) {
                refuseBody(limits);
                return;
            }
            if (!body.append(content.content())) {
                refuseForMemory();
                return;
            }
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
        rejectAndClose(413, "the body is larger than " + maxBodyBytes(limits) + " bytes");
    }

    private long maxBodyBytes(CallerLimits limits) {
        return Math.min(limits.maxBodyBytes(), bodies.maxBodyBytes());
    }

    /** Refuses a call whose body does not fit into memory now, and closes the connection once its rest has arrived. */
    private void refuseForMemory() {
        RequestHead call;
        try {
            call = gateway.codec().read(head);
        } catch (MalformedRequestException e) {
            rejectAndClose(400, e.getMessage());
            return;
        }
        discarding = true;
        String reason = "no memory for the body";
        CallTelemetry telemetry = new CallTelemetry(gateway);
        telemetry.setCall(call);
        telemetry.refused(503, reason, ExecutionOutcome.NOT_RUN);
        long retryAfterMs = RETRY_AFTER_MS + ThreadLocalRandom.current().nextLong(RETRY_SPREAD_MS);
        FullHttpResponse response = gateway.refusal(503, reason, Optional.of(call.id()), retryAfterMs);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        releaseRequest();
        refusalWritten = Optional.of(context.writeAndFlush(response));
        startIdleTimer();
    }

    private void refuseMalformed(Throwable cause) {
        rejectAndClose(cause instanceof TooLongHttpHeaderException ? 431 : 400, String.valueOf(cause.getMessage()));
    }

    /** Rejects a request and closes the connection, since the rest of the request is not read. */
    private void rejectAndClose(int status, String reason) {
        discarding = true;
        gateway.rejected(status, reason);
        FullHttpResponse response = gateway.refusal(status, reason, Optional.empty(), -1);
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
        if (close || discarding) {
            context.close();
            return;
        }
        startIdleTimer();
        context.channel().config().setAutoRead(true);
        while (!isResponding() && !pipelined.isEmpty()) {
            handlePipelined(pipelined.poll());
        }
    }

    /** Returns whether the connection has been open without a request for the given time. */
    boolean isIdleFor(long millis) {
        return isIdle() && gateway.ticker().nanos() - idleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void startIdleTimer() {
        idleSinceNanos = gateway.ticker().nanos();
        startTimer(gateway.idleTimeoutMs(), this::closeIfIdle);
    }

    /** Closes the connection, unless the configuration allows a longer idle time than when the timer was started. */
    private void closeIfIdle() {
        if (!isIdle()) {
            return;
        }
        long idleMs = TimeUnit.NANOSECONDS.toMillis(gateway.ticker().nanos() - idleSinceNanos);
        long remainingMs = gateway.idleTimeoutMs() - idleMs;
        if (remainingMs > 0) {
            startTimer(remainingMs, this::closeIfIdle);
        } else {
            context.close();
        }
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
