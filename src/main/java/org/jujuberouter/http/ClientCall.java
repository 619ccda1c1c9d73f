package org.jujuberouter.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.jujuberouter.misc.FatalErrorReporter;
import org.jujuberouter.misc.FatalErrors;

/**
 * A single request on a dedicated connection.
 *
 * <p>The connection is not reused, so no bytes of another response can be mistaken for this one, and a failure to
 * connect proves that nothing was sent. A response without a length is complete only if the connection was closed
 * without an error. The failure of a write can be the only sign of a reset, so it is recorded, and reading goes on to
 * what the server had sent before; the end of the input is told from that of the connection for the same reason. While a
 * part of the request is unsent, the end of the input is not the end of the response yet: a server that broke off its response
 * resets the connection then, one that has completed it takes the rest of the request.
 */
public final class ClientCall {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** Largest number of heads before that of the response: informational ones and those of other responses. */
    private static final int MAX_SKIPPED_HEADS = 16;

    /** Largest size of the bodies of other responses that are read and dropped. */
    private static final int MAX_SKIPPED_BYTES = 1 << 20;

    private final ResponseListener listener;
    private final RequestWrites writes;
    private Channel channel;
    private boolean finished;
    private boolean connected;
    private boolean requestWritten;
    private boolean requestFailed;
    private boolean inputEnded;
    private boolean endAwaitsRequest;

    private ClientCall(ResponseListener listener, RequestWrites writes) {
        this.listener = listener;
        this.writes = writes;
    }

    /** Opens a connection and sends the request, which is released afterwards. */
    public static ClientCall send(
            EventLoop loop,
            InetSocketAddress address,
            int connectTimeoutMs,
            FullHttpRequest request,
            ResponseListener listener) {
        return send(loop, address, connectTimeoutMs, request, listener, _ -> _ -> {});
    }

    /** Opens a connection and sends the request, which is released afterwards; its write is observed. */
    public static ClientCall send(
            EventLoop loop,
            InetSocketAddress address,
            int connectTimeoutMs,
            FullHttpRequest request,
            ResponseListener listener,
            RequestWrites writes) {
        ClientCall call = new ClientCall(listener, writes);
        ChannelFuture connecting = ChannelConnector.connect(loop, address, connectTimeoutMs, call::initialize);
        call.channel = connecting.channel();
        connecting.addListener(f -> call.onConnect(f.isSuccess(), f.cause(), request));
        return call;
    }

    private void initialize(Channel ch) {
        ch.config().setAutoClose(false).setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        ch.pipeline()
                .addLast(new InputEndRecorder())
                .addLast(new HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                .addLast(FatalErrorReporter.instance())
                .addLast(new Handler());
    }

    /** Stops or resumes reading, to apply back-pressure to the server while the consumer of the response is slow. */
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Cancels the call with a connection reset; the listener is not called again. */
    public void cancel() {
        if (!finished) {
            finished = true;
            reset();
        }
    }

    /** The JDK has one exception for all connect errors of the operating system; only their messages differ. */
    private static boolean isRefusal(String detail) {
        return detail.startsWith("Connection refused");
    }

    private void onConnect(boolean success, Throwable cause, FullHttpRequest request) {
        if (finished) {
            request.release();
            reset();
        } else if (!success) {
            request.release();
            String detail = String.valueOf(cause.getMessage());
            fail(isRefusal(detail) ? CallFailure.Kind.REFUSED : CallFailure.Kind.CONNECT, detail);
        } else {
            connected = true;
            Consumer<Boolean> write = writes.begin(request.content().readableBytes());
            channel.writeAndFlush(request).addListener(f -> {
                requestWritten = true;
                requestFailed = !f.isSuccess();
                write.accept(f.isSuccess());
                if (endAwaitsRequest) {
                    end();
                }
            });
        }
    }

    private void end() {
        if (inputEnded && !requestWritten) {
            endAwaitsRequest = true;
        } else if (inputEnded && requestFailed) {
            fail(CallFailure.Kind.RESET, "the connection was reset before the request was sent");
        } else if (!finished) {
            finished = true;
            reset();
            listener.onEnd();
        }
    }

    private void fail(CallFailure.Kind kind, String detail) {
        if (!finished) {
            finished = true;
            reset();
            listener.onFailure(new CallFailure(kind, connected, detail));
        }
    }

    private void reset() {
        if (channel.isOpen()) {
            // With a linger time of 0, close sends a reset, which makes the server stop processing at once.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Notes the end of the input before the codec takes it for the end of a response without a length. */
    private final class InputEndRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            inputEnded |= event == ChannelInputShutdownEvent.INSTANCE;
            ctx.fireUserEventTriggered(event);
        }
    }

    private final class Handler extends ChannelInboundHandlerAdapter {
        private boolean accepted;
        private int skippedHeads;
        private long skippedBytes;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            try {
                if (!finished) {
                    read((HttpObject) message);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void read(HttpObject part) {
            if (part.decoderResult().isFailure()) {
                fail(
                        CallFailure.Kind.MALFORMED,
                        String.valueOf(part.decoderResult().cause()));
                return;
            }
            if (part instanceof HttpResponse head) {
                if (!StatusCodes.isFinal(head) && !StatusCodes.isInformational(head)) {
                    fail(CallFailure.Kind.MALFORMED, "status " + head.status().code());
                    return;
                }
                accepted = StatusCodes.isFinal(head) && listener.onHead(head);
                skippedHeads += accepted ? 0 : 1;
            }
            if (!accepted && part instanceof HttpContent content) {
                skippedBytes += content.content().readableBytes();
            }
            if (skippedHeads > MAX_SKIPPED_HEADS || skippedBytes > MAX_SKIPPED_BYTES) {
                fail(
                        CallFailure.Kind.MALFORMED,
                        "no response within " + skippedHeads + " other heads and " + skippedBytes + " other bytes");
                return;
            }
            if (!finished && accepted && part instanceof HttpContent content) {
                if (content.content().isReadable()) {
                    listener.onBody(content.content());
                }
                if (!finished && part instanceof LastHttpContent) {
                    end();
                }
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == ChannelInputShutdownEvent.INSTANCE && !endAwaitsRequest) {
                failClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.report(cause);
            fail(CallFailure.Kind.RESET, String.valueOf(cause.getMessage()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failClosed();
        }

        private void failClosed() {
            fail(CallFailure.Kind.CLOSED, "the connection was closed before the answer was whole");
        }
    }
}
