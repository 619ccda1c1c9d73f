package org.jujuberouter.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.misc.FatalErrorReporter;
import org.jujuberouter.misc.FatalErrors;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.Hello;

/**
 * A persistent connection to one peer.
 *
 * <p>Messages are encoded on the sender's thread; what is queued and not yet written is limited in frames and bytes, so
 * that a peer that reads slowly costs a limited amount of memory. Frames are written and read on the event loop, and
 * all frames of one turn of the loop are written together. Each side sends an empty frame as a keepalive when it has
 * sent nothing for a second, so silence always indicates a failure: the connection is closed when no complete frame has
 * arrived for 3 s, or when a write has been blocked for 3 s.
 */
public final class PeerConnection implements AutoCloseable {
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
    static final Duration KEEPALIVE_INTERVAL = Duration.ofSeconds(1);
    static final int MAX_QUEUED_FRAMES = 1024;
    static final int MAX_QUEUED_BYTES = 4 * PeerCodec.MAX_FRAME_BYTES;
    static final int MAX_PENDING_CALLS = 4096;

    /** Messages waiting for the listener above which nothing more is read; as many as the peer may queue. */
    static final int MAX_UNHANDLED_MESSAGES = 1024;

    /**
     * Limits what a client can make the process read before the handshake; a Hello with three texts of maximum length
     * is smaller.
     */
    static final int MAX_FIRST_FRAME_BYTES = 1024;

    private static final System.Logger LOG = System.getLogger(PeerConnection.class.getName());
    private static final byte[] EMPTY_FRAME = {};

    private final Channel channel;
    private final PeerNetwork network;
    private final Ticker ticker;
    private final PeerListener listener;
    private final Executor listenerExecutor;
    private final PeerTraffic traffic;
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicInteger queuedFrames = new AtomicInteger();
    private final AtomicInteger unhandledMessages = new AtomicInteger();
    private final AtomicLong nextCallId = new AtomicLong(1);
    private final Map<Long, CompletableFuture<PeerMessage.Reply>> pendingCalls = new ConcurrentHashMap<>();
    private final AtomicReference<String> closeReason = new AtomicReference<>();
    private volatile Hello peerHello;

    // Confined to the event loop.
    private long lastReceivedNanos;
    private long lastSentNanos;
    private long writeProgressNanos;
    private Hello announced;
    private int unwrittenFrames;
    private boolean flushScheduled;

    private PeerConnection(
            Channel channel,
            PeerNetwork network,
            Ticker ticker,
            PeerListener listener,
            Executor listenerExecutor,
            PeerTraffic traffic) {
        this.channel = channel;
        this.network = network;
        this.ticker = ticker;
        this.listener = listener;
        this.listenerExecutor = listenerExecutor;
        this.traffic = traffic;
        this.lastReceivedNanos = ticker.nanos();
        this.lastSentNanos = ticker.nanos();
    }

    /** Returns a connection that handles the channel; listeners are called by the executor, in order. */
    static PeerConnection on(
            Channel channel,
            PeerNetwork network,
            Ticker ticker,
            PeerListener listener,
            Executor listenerExecutor,
            PeerTraffic traffic) {
        PeerConnection connection = new PeerConnection(channel, network, ticker, listener, listenerExecutor, traffic);
        channel.pipeline().addLast(FatalErrorReporter.instance(), connection.new FrameReader());
        return connection;
    }

    /** Returns the incarnation that the peer announced. */
    public Incarnation peer() {
        return peerHello.sender();
    }

    /** Returns whether the connection is open. */
    public boolean isOpen() {
        return closeReason.get() == null;
    }

    /** Adds the message to the send queue; it is lost if the connection closes before it is written. */
    public void send(PeerMessage message) throws PeerException {
        sendFrame(PeerCodec.encode(message));
    }

    void sendFrame(byte[] frame) throws PeerException {
        requireOpen();
        long bytes = queuedBytes.addAndGet(frame.length);
        int frames = queuedFrames.incrementAndGet();
        if (bytes > MAX_QUEUED_BYTES || frames > MAX_QUEUED_FRAMES) {
            dequeued(frame);
            throw PeerException.of(Kind.QUEUE_FULL, bytes - frame.length, frames - 1, peerName());
        }
        if (channel.eventLoop().inEventLoop()) {
            write(frame);
            return;
        }
        try {
            channel.eventLoop().execute(() -> write(frame));
        } catch (RejectedExecutionException e) {
            dequeued(frame);
            throw PeerException.of(Kind.CLOSED, peerName(), "the peer network is closed");
        }
    }

    private void dequeued(byte[] frame) {
        queuedBytes.addAndGet(-frame.length);
        queuedFrames.decrementAndGet();
    }

    private void write(byte[] frame) {
        long now = ticker.nanos();
        if (unwrittenFrames++ == 0) {
            writeProgressNanos = now;
        }
        lastSentNanos = now;
        traffic.recordSent(frame);
        ByteBuf prefixed = Unpooled.buffer(PeerCodec.LENGTH_BYTES + frame.length)
                .writeInt(frame.length)
                .writeBytes(frame);
        channel.write(prefixed).addListener(_ -> {
            unwrittenFrames--;
            writeProgressNanos = ticker.nanos();
            dequeued(frame);
        });
        if (!flushScheduled) {
            flushScheduled = true;
            network.flushLater(this);
        }
    }

    /** Writes the queued frames to the socket; called on the event loop. */
    void flush() {
        flushScheduled = false;
        channel.flush();
    }

    /**
     * Sends the request with a new call id and waits for its reply; a reply after the timeout is passed to the
     * listener.
     */
    public PeerMessage.Reply call(PeerMessage.Call request, Duration timeout)
            throws PeerException, InterruptedException {
        long id = nextCallId.getAndIncrement();
        if (pendingCalls.size() >= MAX_PENDING_CALLS) {
            throw PeerException.of(Kind.OVERSIZED, "count of pending calls", pendingCalls.size(), MAX_PENDING_CALLS);
        }
        CompletableFuture<PeerMessage.Reply> reply = new CompletableFuture<>();
        pendingCalls.put(id, reply);
        try {
            send(request.withCallId(id));
            return reply.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw PeerException.of(Kind.CALL_TIMEOUT, peerName(), timeout.toMillis());
        } catch (ExecutionException e) {
            throw PeerException.of(Kind.CLOSED, peerName(), e.getCause().getMessage());
        } finally {
            pendingCalls.remove(id);
        }
    }

    /**
     * Sends a keepalive if nothing was sent for a second. Closes the connection if nothing was received, or a write was
     * blocked, for longer than the silence timeout.
     */
    void checkTimeouts() {
        long now = ticker.nanos();
        if (now - lastReceivedNanos > SILENCE_TIMEOUT.toNanos()) {
            close("nothing received for " + SILENCE_TIMEOUT.toMillis() + " ms");
        } else if (unwrittenFrames > 0 && now - writeProgressNanos > SILENCE_TIMEOUT.toNanos()) {
            close("a write has been blocked for " + SILENCE_TIMEOUT.toMillis() + " ms");
        } else if (isHandshakeDone() && now - lastSentNanos > KEEPALIVE_INTERVAL.toNanos()) {
            sendKeepalive();
        }
    }

    private void sendKeepalive() {
        try {
            sendFrame(EMPTY_FRAME);
        } catch (PeerException e) {
            LOG.log(System.Logger.Level.DEBUG, "[peer] Keepalive not sent to {0}: {1}", peerName(), e.getMessage());
        }
    }

    @Override
    public void close() {
        close("closed by this instance");
    }

    void close(String reason) {
        if (!closeReason.compareAndSet(null, reason)) {
            return;
        }
        channel.close();
        pendingCalls.values().forEach(f -> f.completeExceptionally(new IOException(reason)));
    }

    /** Returns whether the Hello of the peer has been received. */
    boolean isHandshakeDone() {
        return peerHello != null;
    }

    /**
     * Returns whether the connection leads back to this instance. The wildcard listen address does not show which of
     * the listed addresses are its own.
     */
    boolean isToSelf() {
        return isHandshakeDone() && peer().equals(network.self());
    }

    /** Returns whether the peer was told this incarnation when the connection opened. */
    boolean isAnnounced(Incarnation incarnation) {
        return announced.sender().equals(incarnation);
    }

    String closeReason() {
        return closeReason.get();
    }

    private void onFrame(byte[] frame) throws PeerException {
        lastReceivedNanos = ticker.nanos();
        traffic.recordReceived(frame);
        if (!isHandshakeDone()) {
            onFirstFrame(frame);
        } else if (frame.length > 0) {
            dispatch(frame);
        }
    }

    private void onFirstFrame(byte[] frame) throws PeerException {
        PeerMessage first = PeerCodec.decode(frame);
        if (!(first instanceof Hello hello)) {
            throw PeerException.of(
                    Kind.WRONG_MAGIC, "a message of type " + first.getClass().getSimpleName());
        }
        peerHello = hello;
        network.established(this);
        callListener(() -> listener.onConnected(hello.sender(), hello.domain()));
    }

    private void dispatch(byte[] frame) throws PeerException {
        PeerMessage message;
        try {
            message = PeerCodec.decode(frame);
        } catch (PeerException e) {
            if (e.kind() == Kind.UNKNOWN_TYPE) {
                return;
            }
            throw e;
        }
        switch (message) {
            case Hello hello -> {
                if (!hello.sender().instance().equals(peerHello.sender().instance())) {
                    throw PeerException.of(Kind.MALFORMED, "Hello", "the instance changed on an open connection");
                }
                peerHello = hello;
                network.updateNewest(hello.sender().instance());
                callListener(() -> listener.onConnected(hello.sender(), hello.domain()));
            }
            case PeerMessage.Reply reply -> {
                CompletableFuture<PeerMessage.Reply> future = pendingCalls.remove(reply.callId());
                if (future == null || !future.complete(reply)) {
                    callListener(() -> listener.onMessage(this, reply));
                }
            }
            default -> callListener(() -> listener.onMessage(this, message));
        }
    }

    /** Calls the listener in order of arrival; reading pauses while the listener has too much left to handle. */
    private void callListener(Runnable call) {
        if (unhandledMessages.incrementAndGet() > MAX_UNHANDLED_MESSAGES) {
            channel.config().setAutoRead(false);
        }
        listenerExecutor.execute(() -> {
            try {
                call.run();
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "[peer] Peer listener threw an exception", e);
                close("peer listener threw " + e);
            }
            if (unhandledMessages.decrementAndGet() == 0 && !channel.config().isAutoRead()) {
                channel.config().setAutoRead(true);
            }
        });
    }

    private void requireOpen() throws PeerException {
        String reason = closeReason.get();
        if (reason != null) {
            throw PeerException.of(Kind.CLOSED, peerName(), reason);
        }
    }

    String peerName() {
        Hello hello = peerHello;
        return hello == null
                ? String.valueOf(channel.remoteAddress())
                : hello.sender().toString();
    }

    /** Splits the received bytes into frames; a claimed frame size alone allocates no memory. */
    private final class FrameReader extends ByteToMessageDecoder {
        @Override
        public void channelActive(ChannelHandlerContext ctx) throws PeerException {
            network.opened(PeerConnection.this);
            announced = network.hello();
            if (isOpen()) {
                send(announced);
            }
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws PeerException {
            if (!isOpen()) {
                in.skipBytes(in.readableBytes());
                return;
            }
            if (in.readableBytes() < PeerCodec.LENGTH_BYTES) {
                return;
            }
            int size = in.getInt(in.readerIndex());
            checkSize(size);
            if (in.readableBytes() >= PeerCodec.LENGTH_BYTES + size) {
                byte[] frame = new byte[size];
                in.skipBytes(PeerCodec.LENGTH_BYTES).readBytes(frame);
                onFrame(frame);
            }
        }

        private void checkSize(int size) throws PeerException {
            if (!isHandshakeDone() && (size < 0 || size > MAX_FIRST_FRAME_BYTES)) {
                throw PeerException.of(Kind.WRONG_MAGIC, String.format("the bytes 0x%08x", size));
            }
            if (size < 0 || size > PeerCodec.MAX_FRAME_BYTES) {
                throw PeerException.of(
                        Kind.OVERSIZED, "size of the frame", size & 0xFFFFFFFFL, PeerCodec.MAX_FRAME_BYTES);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            super.channelInactive(ctx);
            close("the peer closed the connection");
            network.closed(PeerConnection.this);
            if (isHandshakeDone()) {
                Incarnation peer = peer();
                callListener(() -> listener.onDisconnected(peer));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FatalErrors.report(cause);
            Throwable failure =
                    cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
            if (failure instanceof RuntimeException) {
                LOG.log(System.Logger.Level.ERROR, "[peer] Unhandled exception on a connection", failure);
            }
            close(String.valueOf(failure.getMessage()));
        }
    }
}
