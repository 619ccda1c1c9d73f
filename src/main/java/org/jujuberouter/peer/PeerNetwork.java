package org.jujuberouter.peer;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.Hello;
import org.jujuberouter.peer.PeerMessage.PermitReply;
import org.jujuberouter.peer.PeerMessage.PermitRequest;
import org.jujuberouter.peer.PeerMessage.Reply;
import org.jujuberouter.peer.PeerMessage.RunReply;
import org.jujuberouter.peer.PeerMessage.RunRequest;

/**
 * Manages the connections of this instance to its peers.
 *
 * <p>Both instances of a pair may dial each other; each connection carries messages in both directions, so simultaneous
 * dials lose nothing. A lost connection is dialled again with jittered exponential backoff for as long as its address
 * is listed in {@link #connectTo}. All connections share one event loop, so a message costs no change of thread.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerNetwork.class.getName());
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 250;
    private static final long FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS = 1000;

    /** Limit for the shutdown of an event loop of its own. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2000;

    private final EventLoop loop;
    private final Optional<EventLoopGroup> ownGroup;
    private final Supplier<Executor> listenerExecutors;
    private final Ticker ticker;
    private final PeerListener listener;
    private final FailureDomain domain;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<PeerConnection> established = ConcurrentHashMap.newKeySet();
    private final Map<InstanceId, PeerConnection> newest = new ConcurrentHashMap<>();
    private volatile Incarnation self;
    private volatile boolean closed;
    private PeerServer server;

    // Confined to the event loop.
    private final Map<InetSocketAddress, PeerDialer> dialers = new HashMap<>();
    private final List<PeerConnection> unflushed = new ArrayList<>();
    private long lastFailedHandshakeLogMillis;

    private PeerNetwork(
            EventLoop loop,
            Optional<EventLoopGroup> ownGroup,
            Supplier<Executor> listenerExecutors,
            Incarnation self,
            FailureDomain domain,
            Ticker ticker,
            PeerListener listener) {
        this.loop = loop;
        this.ownGroup = ownGroup;
        this.listenerExecutors = listenerExecutors;
        this.self = self;
        this.domain = domain;
        this.ticker = ticker;
        this.listener = listener;
        this.lastFailedHandshakeLogMillis = ticker.millis() - FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS;
    }

    /**
     * Starts listening on the address, on an event loop of its own; port 0 selects a free port. The listener is called
     * on virtual threads.
     */
    public static PeerNetwork start(
            Incarnation self, FailureDomain domain, InetSocketAddress address, Ticker ticker, PeerListener listener)
            throws IOException {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, Thread.ofPlatform().daemon().name("peer-io").factory(), NioIoHandler.newFactory());
        Executor threads = task -> Thread.ofVirtual().name("peer-listener").start(task);
        PeerNetwork network = new PeerNetwork(
                group.next(), Optional.of(group), () -> SerialExecutor.on(threads), self, domain, ticker, listener);
        try {
            network.listen(address);
        } catch (IOException e) {
            group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            throw e;
        }
        return network;
    }

    /** Starts listening on the address. The listener is called on the given event loop, without a change of thread. */
    public static PeerNetwork startOn(
            EventLoop loop,
            Incarnation self,
            FailureDomain domain,
            InetSocketAddress address,
            Ticker ticker,
            PeerListener listener)
            throws IOException {
        PeerNetwork network =
                new PeerNetwork(loop, Optional.empty(), () -> Runnable::run, self, domain, ticker, listener);
        network.listen(address);
        return network;
    }

    private void listen(InetSocketAddress address) throws IOException {
        server = PeerServer.start(loop, address, this::connect);
        loop.scheduleAtFixedRate(
                () -> connections.forEach(PeerConnection::checkTimeouts),
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the local address that peers connect to. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Returns the frame and byte counters of all connections since the start. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Sets the addresses to keep connections to; connections dialled to other addresses are closed. */
    public void connectTo(Collection<InetSocketAddress> addresses) {
        if (closed) {
            return;
        }
        Set<InetSocketAddress> wanted = new HashSet<>(addresses);
        wanted.remove(address());
        runOnLoop(() -> dial(wanted));
    }

    /** Runs the task on the event loop; one that has ended has closed all channels and runs no more tasks. */
    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
            return;
        }
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            LOG.log(System.Logger.Level.DEBUG, "[peer] The event loop of the peer network has ended");
        }
    }

    private void dial(Set<InetSocketAddress> wanted) {
        dialers.entrySet().removeIf(e -> {
            if (!closed && wanted.contains(e.getKey())) {
                return false;
            }
            e.getValue().close();
            return true;
        });
        if (!closed) {
            wanted.forEach(w -> dialers.computeIfAbsent(w, a -> PeerDialer.start(loop, a, ticker, this::connect)));
        }
    }

    /** Announces a new incarnation of this instance on all connections. */
    public void announce(Incarnation incarnation) {
        if (!incarnation.instance().equals(self.instance())) {
            throw new IllegalArgumentException(incarnation + " is not an incarnation of " + self.instance());
        }
        self = incarnation;
        broadcast(Hello.of(incarnation, domain));
    }

    /** Returns the peers to which a connection is established. */
    public Set<Incarnation> connected() {
        return established.stream().map(PeerConnection::peer).collect(Collectors.toUnmodifiableSet());
    }

    /** Queues the message for the peer. */
    public void send(InstanceId to, PeerMessage message) throws PeerException {
        requireConnection(to).send(message);
    }

    /** Sends a permit request to the owner of an endpoint and waits for the reply. */
    public PermitReply call(InstanceId to, PermitRequest request, Duration timeout)
            throws PeerException, InterruptedException {
        return castReply(PermitReply.class, requireConnection(to).call(request, timeout));
    }

    /** Sends a run request to the arbiter of a fingerprint and waits for the reply. */
    public RunReply call(InstanceId to, RunRequest request, Duration timeout)
            throws PeerException, InterruptedException {
        return castReply(RunReply.class, requireConnection(to).call(request, timeout));
    }

    private static <T extends Reply> T castReply(Class<T> type, Reply reply) throws PeerException {
        if (!type.isInstance(reply)) {
            throw PeerException.of(Kind.MALFORMED, type.getSimpleName(), "the reply has the wrong type");
        }
        return type.cast(reply);
    }

    /** Queues the message once for each connected peer and returns for how many peers it was queued. */
    public int broadcast(PeerMessage message) {
        return broadcast(message, newest.keySet());
    }

    /** Queues the message for each given peer that is connected and returns for how many peers it was queued. */
    public int broadcast(PeerMessage message, Set<InstanceId> to) {
        byte[] frame;
        try {
            frame = PeerCodec.encode(message);
        } catch (PeerException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        int sent = 0;
        for (InstanceId instance : to) {
            PeerConnection connection = findOpen(instance);
            if (connection != null && sendFrame(connection, frame)) {
                sent++;
            }
        }
        return sent;
    }

    private static boolean sendFrame(PeerConnection connection, byte[] frame) {
        try {
            connection.sendFrame(frame);
            return true;
        } catch (PeerException e) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "[peer] Broadcast was not sent to {0}: {1}",
                    connection.peer(),
                    e.getMessage());
            return false;
        }
    }

    /** Flushes the connection after the current task of the event loop, together with all others written to by then. */
    void flushLater(PeerConnection connection) {
        if (unflushed.isEmpty()) {
            loop.execute(this::flush);
        }
        unflushed.add(connection);
    }

    private void flush() {
        List<PeerConnection> written = List.copyOf(unflushed);
        unflushed.clear();
        written.forEach(PeerConnection::flush);
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        runOnLoop(() -> dial(Set.of()));
        server.close();
        connections.forEach(PeerConnection::close);
        // The port of the listener is free only after the selector of the loop has been closed.
        ownGroup.ifPresent(g -> g.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS));
    }

    /** Returns whether a connection to the peer is open. */
    public boolean isConnected(InstanceId instance) {
        return findOpen(instance) != null;
    }

    private PeerConnection requireConnection(InstanceId to) throws PeerException {
        PeerConnection connection = findOpen(to);
        if (connection == null) {
            throw PeerException.of(Kind.NOT_CONNECTED, to);
        }
        return connection;
    }

    /** Returns the open connection to the latest incarnation of the peer, or null if there is none. */
    private PeerConnection findOpen(InstanceId instance) {
        PeerConnection connection = newest.get(instance);
        // A connection that was closed by this instance remains in the map until its channel is closed, and a new one
        // is
        // established a moment before it is in the map.
        return connection != null && connection.isOpen() ? connection : findNewestOpen(instance);
    }

    private PeerConnection findNewestOpen(InstanceId instance) {
        return established.stream()
                .filter(c -> c.isOpen() && c.peer().instance().equals(instance))
                .reduce(PeerNetwork::laterIncarnation)
                .orElse(null);
    }

    /** Returns the connection to the later incarnation of the peer. */
    private static PeerConnection laterIncarnation(PeerConnection a, PeerConnection b) {
        return a.peer().number() >= b.peer().number() ? a : b;
    }

    Incarnation self() {
        return self;
    }

    /** Returns the message with which this instance introduces itself. */
    Hello hello() {
        return Hello.of(self, domain);
    }

    private PeerConnection connect(Channel channel) {
        return PeerConnection.on(channel, this, ticker, listener, listenerExecutors.get(), traffic);
    }

    /** Adds a connection that has opened. */
    void opened(PeerConnection connection) {
        connections.add(connection);
        if (closed) {
            connection.close();
        }
    }

    /** Adds a connection whose peer has introduced itself. */
    void established(PeerConnection connection) throws PeerException {
        if (connection.peer().instance().equals(self.instance())) {
            throw PeerException.of(Kind.MALFORMED, "Hello", "the peer uses the id of this instance");
        }
        Incarnation before = self;
        established.add(connection);
        updateNewest(connection.peer().instance());
        if (!connection.isAnnounced(before) || !self.equals(before)) {
            // The broadcast of a new incarnation may have been sent before this connection was established.
            connection.send(hello());
        }
    }

    /** Selects the connection that is used to send to the peer. */
    void updateNewest(InstanceId instance) {
        PeerConnection connection = findNewestOpen(instance);
        if (connection == null) {
            newest.remove(instance);
        } else {
            newest.put(instance, connection);
        }
    }

    /** Removes a closed connection and logs why it was closed. */
    void closed(PeerConnection connection) {
        established.remove(connection);
        connections.remove(connection);
        if (connection.isHandshakeDone()) {
            updateNewest(connection.peer().instance());
        }
        logClosed(connection);
    }

    /** Logs at most one failed handshake per second, so that clients that are not peers cannot flood the log. */
    private void logClosed(PeerConnection connection) {
        if (connection.isToSelf()) {
            return;
        }
        long now = ticker.millis();
        if (!connection.isHandshakeDone()) {
            if (now - lastFailedHandshakeLogMillis < FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS) {
                return;
            }
            lastFailedHandshakeLogMillis = now;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "[peer] Connection to {0} closed: {1}",
                connection.peerName(),
                connection.closeReason());
    }
}
