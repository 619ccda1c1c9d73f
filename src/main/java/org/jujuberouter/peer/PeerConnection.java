package org.jujuberouter.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.Hello;

/**
 * A persistent connection to one peer.
 *
 * <p>Messages are encoded on the sender's thread and put into a queue that is limited in frames and bytes, so that a
 * peer that reads slowly costs a limited amount of memory. One virtual thread writes and one reads. Each side sends an
 * empty frame as a keepalive when it has sent nothing for a second, so silence always indicates a failure: the
 * connection is closed when no complete frame has arrived for 3 s, or when a write has been blocked for 3 s.
 */
public final class PeerConnection implements AutoCloseable {
    static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
    static final Duration KEEPALIVE_INTERVAL = Duration.ofSeconds(1);
    static final int MAX_QUEUED_FRAMES = 1024;
    static final int MAX_QUEUED_BYTES = 4 * PeerCodec.MAX_FRAME_BYTES;
    static final int MAX_PENDING_CALLS = 4096;

    /**
     * Limits what a client can make the process read before the handshake; a Hello with three texts of maximum length
     * is smaller.
     */
    static final int MAX_FIRST_FRAME_BYTES = 1024;

    private static final byte[] EMPTY_FRAME = {};

    private final Socket socket;
    private final Ticker ticker;
    private final PeerListener listener;
    private final PeerTraffic traffic;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong nextCallId = new AtomicLong(1);
    private final Map<Long, CompletableFuture<PeerMessage.Reply>> pendingCalls = new ConcurrentHashMap<>();
    private final AtomicReference<String> closeReason = new AtomicReference<>();
    private volatile Hello peerHello;
    private volatile long lastReceivedNanos;
    private volatile long writeStartNanos = Long.MAX_VALUE;

    private PeerConnection(Socket socket, Ticker ticker, PeerListener listener, PeerTraffic traffic) {
        this.socket = socket;
        this.ticker = ticker;
        this.listener = listener;
        this.traffic = traffic;
        this.lastReceivedNanos = ticker.nanos();
    }

    static PeerConnection of(Socket socket, Ticker ticker, PeerListener listener, PeerTraffic traffic) {
        return new PeerConnection(socket, ticker, listener, traffic);
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
        long queuedAfter = queuedBytes.addAndGet(frame.length);
        if (queuedAfter > MAX_QUEUED_BYTES || !queue.offer(frame)) {
            queuedBytes.addAndGet(-frame.length);
            throw PeerException.of(Kind.QUEUE_FULL, queuedAfter - frame.length, queue.size(), peerName());
        }
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
     * Sends the own Hello and waits for that of the peer; {@link #checkTimeouts} closes the connection if none arrives.
     */
    void handshake(Hello own) throws IOException, PeerException {
        socket.setTcpNoDelay(true);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        byte[] frame = PeerCodec.encode(own);
        byte[] prefixedFrame = java.nio.ByteBuffer.allocate(4 + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
        out.write(prefixedFrame);
        traffic.recordSent(frame);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int size = in.readInt();
        if (size < 0 || size > MAX_FIRST_FRAME_BYTES) {
            throw PeerException.of(Kind.WRONG_MAGIC, String.format("the bytes 0x%08x", size));
        }
        byte[] received = readFrame(in, size);
        traffic.recordReceived(received);
        PeerMessage first = PeerCodec.decode(received);
        if (!(first instanceof Hello hello)) {
            throw PeerException.of(
                    Kind.WRONG_MAGIC, "a message of type " + first.getClass().getSimpleName());
        }
        peerHello = hello;
        lastReceivedNanos = ticker.nanos();
    }

    /** Reads and dispatches frames until the connection closes; another virtual thread writes. */
    void run() throws IOException, PeerException {
        Thread.ofVirtual().name("peer-write-" + peerName()).start(this::writeUntilClosed);
        listener.onConnected(peerHello.sender(), peerHello.domain());
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 * 1024));
            while (isOpen()) {
                int size = in.readInt();
                if (size < 0 || size > PeerCodec.MAX_FRAME_BYTES) {
                    throw PeerException.of(
                            Kind.OVERSIZED, "size of the frame", size & 0xFFFFFFFFL, PeerCodec.MAX_FRAME_BYTES);
                }
                byte[] frame = readFrame(in, size);
                lastReceivedNanos = ticker.nanos();
                traffic.recordReceived(frame);
                if (size > 0) {
                    dispatch(frame);
                }
            }
        } finally {
            listener.onDisconnected(peerHello.sender());
        }
    }

    /** Closes the connection if nothing was received, or a write was blocked, for longer than the silence timeout. */
    void checkTimeouts() {
        long now = ticker.nanos();
        if (now - lastReceivedNanos > SILENCE_TIMEOUT.toNanos()) {
            close("nothing received for " + SILENCE_TIMEOUT.toMillis() + " ms");
        } else if (writeStartNanos != Long.MAX_VALUE && now - writeStartNanos > SILENCE_TIMEOUT.toNanos()) {
            close("a write has been blocked for " + SILENCE_TIMEOUT.toMillis() + " ms");
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
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is unusable whether or not closing it failed.
        }
        pendingCalls.values().forEach(f -> f.completeExceptionally(new IOException(reason)));
        queue.clear();
        queue.offer(EMPTY_FRAME);
    }

    /** Returns whether the Hello of the peer has been received. */
    boolean isHandshakeDone() {
        return peerHello != null;
    }

    String closeReason() {
        return closeReason.get();
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
                listener.onConnected(hello.sender(), hello.domain());
            }
            case PeerMessage.Reply reply -> {
                CompletableFuture<PeerMessage.Reply> future = pendingCalls.remove(reply.callId());
                if (future == null || !future.complete(reply)) {
                    listener.onMessage(this, reply);
                }
            }
            default -> listener.onMessage(this, message);
        }
    }

    /** Grows the buffer as bytes arrive, so that a claimed frame size alone allocates no memory. */
    private static byte[] readFrame(DataInputStream in, int size) throws IOException, PeerException {
        byte[] frame = in.readNBytes(size);
        if (frame.length < size) {
            throw PeerException.of(Kind.TRUNCATED, "the content, after " + frame.length + " of " + size + " bytes");
        }
        return frame;
    }

    private void writeUntilClosed() {
        try (DataOutputStream out =
                new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), 16 * 1024))) {
            while (isOpen()) {
                byte[] frame = queue.poll(KEEPALIVE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                byte[] next = frame == null ? EMPTY_FRAME : frame;
                writeStartNanos = ticker.nanos();
                out.writeInt(next.length);
                out.write(next);
                traffic.recordSent(next);
                queuedBytes.addAndGet(-next.length);
                if (queue.isEmpty()) {
                    out.flush();
                }
                writeStartNanos = Long.MAX_VALUE;
            }
        } catch (IOException e) {
            close("write failed: " + e.getMessage());
        } catch (InterruptedException e) {
            close("writer thread interrupted");
            Thread.currentThread().interrupt();
        }
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
                ? String.valueOf(socket.getRemoteSocketAddress())
                : hello.sender().toString();
    }

    static String describeFailure(Exception failure) {
        return failure instanceof EOFException ? "the peer closed the connection" : failure.getMessage();
    }
}
