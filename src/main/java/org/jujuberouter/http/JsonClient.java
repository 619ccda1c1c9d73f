package org.jujuberouter.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jujuberouter.misc.FatalErrorReporter;
import org.jujuberouter.misc.FatalErrors;
import org.jujuberouter.misc.Json;

/**
 * A client for short JSON calls to one address, which are sent one at a time over a persistent connection.
 *
 * <p>A connection on which a response has timed out, or on which more was received than one response, is closed, because
 * a late response or a second copy could be mistaken for that to the next call. A call is sent at most once; the caller
 * decides whether to retry it.
 */
public final class JsonClient {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxResponseBytes;
    private final Deque<Pending> queue = new ArrayDeque<>();
    private Channel channel;
    private Pending current;
    private ScheduledFuture<?> timer;

    private JsonClient(EventLoop loop, InetSocketAddress address, int maxResponseBytes) {
        this.loop = loop;
        this.address = address;
        this.maxResponseBytes = maxResponseBytes;
    }

    private record Pending(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs,
            BooleanSupplier maySend,
            Consumer<JsonReply> listener) {}

    /**
     * Returns a client whose listeners run on the event loop; it connects on the first call.
     *
     * @param maxResponseBytes size of a body from which on it is not read any further and the call fails
     */
    public static JsonClient to(EventLoop loop, InetSocketAddress address, int maxResponseBytes) {
        return new JsonClient(loop, address, maxResponseBytes);
    }

    /** Queues a call; its timeout starts when it is sent. */
    public void call(String method, String path, byte[] body, long timeoutMs, Consumer<JsonReply> listener) {
        call(method, path, Map.of(), body, timeoutMs, listener);
    }

    /** Queues a call with additional header fields. */
    public void call(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs,
            Consumer<JsonReply> listener) {
        call(method, path, headers, body, timeoutMs, () -> true, listener);
    }

    /**
     * Queues a call that is sent only if the condition holds when its connection is established; otherwise it fails.
     * Connecting may take as long as the timeout, and longer if the process is paused meanwhile.
     */
    public void call(
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs,
            BooleanSupplier maySend,
            Consumer<JsonReply> listener) {
        queue.add(new Pending(method, path, headers, body, timeoutMs, maySend, listener));
        sendNext();
    }

    /** Closes the connection; the call in progress fails and queued calls are discarded. */
    public void close() {
        queue.clear();
        finish(new JsonReply.NoResponse(address, "connection closed by this instance"));
        closeConnection();
    }

    private void sendNext() {
        if (current != null || queue.isEmpty()) {
            return;
        }
        Pending next = queue.poll();
        current = next;
        timer = loop.schedule(() -> onTimeout(next), next.timeoutMs, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(next);
        } else {
            connect(next);
        }
    }

    private void onTimeout(Pending call) {
        if (current == call) {
            if (channel != null) {
                // A reset discards a call that is not delivered yet, which the server would otherwise execute later.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            closeConnection();
            finish(new JsonReply.NoResponse(address, "no response within " + call.timeoutMs + " ms"));
        }
    }

    private void connect(Pending call) {
        ChannelFuture connecting = ChannelConnector.connect(
                loop,
                address,
                CONNECT_TIMEOUT_MS,
                ch -> ch.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(maxResponseBytes))
                        .addLast(FatalErrorReporter.instance())
                        .addLast(new Handler()));
        connecting.addListener((ChannelFutureListener) f -> {
            if (current != call) {
                f.channel().close();
            } else if (f.isSuccess()) {
                channel = f.channel();
                write(call);
            } else {
                finish(new JsonReply.NoResponse(
                        address, String.valueOf(f.cause().getMessage())));
            }
        });
    }

    private void write(Pending call) {
        if (!call.maySend.getAsBoolean()) {
            finish(new JsonReply.NoResponse(address, "the call is not permitted any more"));
            return;
        }
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method),
                call.path,
                call.body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(call.body));
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        call.headers.forEach(request.headers()::set);
        if (call.body != null) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
        }
        channel.writeAndFlush(request);
    }

    private void finish(JsonReply reply) {
        Pending finished = current;
        current = null;
        if (finished != null) {
            timer.cancel(false);
            finished.listener.accept(reply);
            sendNext();
        }
    }

    private void closeConnection() {
        Channel open = channel;
        channel = null;
        if (open != null) {
            open.close();
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private JsonReply received;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() != channel || current == null) {
                ctx.close();
                return;
            }
            if (received != null) {
                closeConnection();
                return;
            }
            if (response.decoderResult().isFailure()) {
                closeConnection();
                finish(new JsonReply.NoResponse(
                        address,
                        "malformed response: " + response.decoderResult().cause()));
                return;
            }
            if (!StatusCodes.isFinal(response)) {
                closeConnection();
                finish(new JsonReply.NoResponse(
                        address, "invalid status " + response.status().code()));
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                closeConnection();
            }
            received = decode(response);
        }

        /** Ends the call only when all that was received has been read, so that a second copy is noticed. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if (received != null) {
                JsonReply reply = received;
                received = null;
                finish(reply);
            }
        }

        private JsonReply decode(FullHttpResponse response) {
            if (!response.content().isReadable()) {
                return new JsonReply.Response(response.status().code(), response.headers(), MissingNode.getInstance());
            }
            try (InputStream in = new ByteBufInputStream(response.content())) {
                JsonNode body = Json.MAPPER.readTree(in);
                return new JsonReply.Response(response.status().code(), response.headers(), body);
            } catch (IOException e) {
                if (response.status().code() == 200) {
                    return new JsonReply.NoResponse(address, "malformed JSON in the response body: " + e.getMessage());
                }
                // The body of an error response may be plain text; only its status is evaluated.
                return new JsonReply.Response(response.status().code(), response.headers(), MissingNode.getInstance());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.report(cause);
            if (cause instanceof TooLongHttpContentException && ctx.channel() == channel) {
                closeConnection();
                finish(new JsonReply.TooLarge(maxResponseBytes));
            } else {
                onConnectionLost(ctx, String.valueOf(cause.getMessage()));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onConnectionLost(ctx, "connection closed by the server");
        }

        private void onConnectionLost(ChannelHandlerContext ctx, String reason) {
            ctx.close();
            if (ctx.channel() == channel) {
                channel = null;
                finish(new JsonReply.NoResponse(address, reason));
            }
        }
    }

    /** Encodes text as a request body in UTF-8. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
