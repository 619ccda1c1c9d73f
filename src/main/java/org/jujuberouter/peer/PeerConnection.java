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
 * <p>Messages are encoded by the sender's thread and wait in a queue bounded in frames and bytes, so that a peer that
 * reads slowly costs a known amount of memory. One virtual thread writes and one reads. A side that has nothing to send
 * for a second sends an empty frame, so silence always means a fault: a connection closes when no whole frame has arrived
 * for 3 s, or when a write has been stuck for 3 s.
 */
public final class PeerConnection implements AutoCloseable {
    static final Duration SILENCE = Duration.ofSeconds(3);
    static final Duration KEEPALIVE = Duration.ofSeconds(1);
    static final int MAX_QUEUED_FRAMES = 1024;
    static final int MAX_QUEUED_BYTES = 4 * PeerCodec.MAX_FRAME_BYTES;
    static final int MAX_PENDING_CALLS = 4096;

    /** A Hello with three texts of full length takes less; strangers cannot make the process hold more. */
    static final int MAX_FIRST_FRAME_BYTES = 1024;

    private static final byte[] EMPTY = {};

    private final Socket socket;
    private final Ticker ticker;
    private final PeerListener listener;
    private final PeerTraffic traffic;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong nextCall = new AtomicLong(1);
    private final Map<Long, CompletableFuture<PeerMessage.Reply>> pending = new ConcurrentHashMap<>();
    private final AtomicReference<String> closeReason = new AtomicReference<>();
    private volatile Hello peer;
    private volatile long lastReceived;
    private volatile long writingSince = Long.MAX_VALUE;

    private PeerConnection(Socket socket, Ticker ticker, PeerListener listener, PeerTraffic traffic) {
        this.socket = socket;
        this.ticker = ticker;
        this.listener = listener;
        this.traffic = traffic;
        this.lastReceived = ticker.nanos();
    }

    static PeerConnection of(Socket socket, Ticker ticker, PeerListener listener, PeerTraffic traffic) {
        return new PeerConnection(socket, ticker, listener, traffic);
    }

    /** Returns the incarnation that the peer announced. */
    public Incarnation peer() {
        return peer.sender();
    }

    /** Tells whether the connection is open. */
    public boolean isOpen() {
        return closeReason.get() == null;
    }

    /** Puts the message into the outgoing queue; it may still be lost when the connection closes. */
    public void send(PeerMessage message) throws PeerException {
        sendFrame(PeerCodec.encode(message));
    }

    void sendFrame(byte[] frame) throws PeerException {
        requireOpen();
        long held = queuedBytes.addAndGet(frame.length);
        if (held > MAX_QUEUED_BYTES || !queue.offer(frame)) {
            queuedBytes.addAndGet(-frame.length);
            throw PeerException.of(Kind.QUEUE_FULL, held - frame.length, queue.size(), name());
        }
    }

    /** Sends the request under a new call id and waits for its reply; a reply after the timeout goes to the listener. */
    public PeerMessage.Reply call(PeerMessage.Call request, Duration timeout)
            throws PeerException, InterruptedException {
        long id = nextCall.getAndIncrement();
        if (pending.size() >= MAX_PENDING_CALLS) {
            throw PeerException.of(Kind.OVERSIZED, "count of pending calls", pending.size(), MAX_PENDING_CALLS);
        }
        CompletableFuture<PeerMessage.Reply> reply = new CompletableFuture<>();
        pending.put(id, reply);
        try {
            send(request.withCallId(id));
            return reply.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            throw PeerException.of(Kind.CALL_TIMEOUT, name(), timeout.toMillis());
        } catch (ExecutionException e) {
            throw PeerException.of(Kind.CLOSED, name(), e.getCause().getMessage());
        } finally {
            pending.remove(id);
        }
    }

    /** Sends the first Hello and waits for the one of the peer; the caller bounds the time by closing the connection. */
    void handshake(Hello own) throws IOException, PeerException {
        socket.setTcpNoDelay(true);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        byte[] frame = PeerCodec.encode(own);
        byte[] whole = java.nio.ByteBuffer.allocate(4 + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
        out.write(whole);
        traffic.sent(frame);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int size = in.readInt();
        if (size < 0 || size > MAX_FIRST_FRAME_BYTES) {
            throw PeerException.of(Kind.WRONG_MAGIC, String.format("the bytes 0x%08x", size));
        }
        byte[] received = readFrame(in, size);
        traffic.received(received);
        PeerMessage first = PeerCodec.decode(received);
        if (!(first instanceof Hello hello)) {
            throw PeerException.of(
                    Kind.WRONG_MAGIC, "a message of type " + first.getClass().getSimpleName());
        }
        peer = hello;
        lastReceived = ticker.nanos();
    }

    /** Reads and dispatches frames until the connection closes; a second virtual thread writes. */
    void run() throws IOException, PeerException {
        Thread.ofVirtual().name("peer-write-" + name()).start(this::writeUntilClosed);
        listener.onConnected(peer.sender(), peer.domain());
        try {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 * 1024));
            while (isOpen()) {
                int size = in.readInt();
                if (size < 0 || size > PeerCodec.MAX_FRAME_BYTES) {
                    throw PeerException.of(
                            Kind.OVERSIZED, "size of the frame", size & 0xFFFFFFFFL, PeerCodec.MAX_FRAME_BYTES);
                }
                byte[] frame = readFrame(in, size);
                lastReceived = ticker.nanos();
                traffic.received(frame);
                if (size > 0) {
                    dispatch(frame);
                }
            }
        } finally {
            listener.onDisconnected(peer.sender());
        }
    }

    /** Closes the connection if it broke one of the time bounds. */
    void checkSilence() {
        long now = ticker.nanos();
        if (now - lastReceived > SILENCE.toNanos()) {
            close("nothing received for " + SILENCE.toMillis() + " ms");
        } else if (writingSince != Long.MAX_VALUE && now - writingSince > SILENCE.toNanos()) {
            close("a write is stuck for " + SILENCE.toMillis() + " ms");
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
            // The socket is unusable either way.
        }
        pending.values().forEach(f -> f.completeExceptionally(new IOException(reason)));
        queue.clear();
        queue.offer(EMPTY);
    }

    /** Tells whether the peer completed the handshake. */
    boolean isKnown() {
        return peer != null;
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
                if (!hello.sender().instance().equals(peer.sender().instance())) {
                    throw PeerException.of(Kind.MALFORMED, "Hello", "the instance changed on an open connection");
                }
                peer = hello;
                listener.onConnected(hello.sender(), hello.domain());
            }
            case PeerMessage.Reply reply -> {
                CompletableFuture<PeerMessage.Reply> waiting = pending.remove(reply.callId());
                if (waiting == null || !waiting.complete(reply)) {
                    listener.onMessage(this, reply);
                }
            }
            default -> listener.onMessage(this, message);
        }
    }

    /** Grows the buffer with the bytes that arrive, so a claimed size alone costs nothing. */
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
                byte[] frame = queue.poll(KEEPALIVE.toMillis(), TimeUnit.MILLISECONDS);
                byte[] next = frame == null ? EMPTY : frame;
                writingSince = ticker.nanos();
                out.writeInt(next.length);
                out.write(next);
                traffic.sent(next);
                queuedBytes.addAndGet(-next.length);
                if (queue.isEmpty()) {
                    out.flush();
                }
                writingSince = Long.MAX_VALUE;
            }
        } catch (IOException e) {
            close("write failed: " + e.getMessage());
        } catch (InterruptedException e) {
            close("interrupted");
            Thread.currentThread().interrupt();
        }
    }

    private void requireOpen() throws PeerException {
        String reason = closeReason.get();
        if (reason != null) {
            throw PeerException.of(Kind.CLOSED, name(), reason);
        }
    }

    String name() {
        Hello hello = peer;
        return hello == null
                ? String.valueOf(socket.getRemoteSocketAddress())
                : hello.sender().toString();
    }

    static String describe(Exception fault) {
        return fault instanceof EOFException ? "the peer closed the connection" : fault.getMessage();
    }
}
