package org.jujuberouter.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
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
 * is listed in {@link #connectTo}.
 */
public final class PeerNetwork implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerNetwork.class.getName());
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1000;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 250;
    private static final long FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS = 1000;

    private final Ticker ticker;
    private final PeerListener listener;
    private final FailureDomain domain;
    private final PeerTraffic traffic = new PeerTraffic();
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();
    private final Set<PeerConnection> established = ConcurrentHashMap.newKeySet();
    private final Map<InetSocketAddress, Thread> dialers = new ConcurrentHashMap<>();
    private final AtomicLong lastFailedHandshakeLogMillis;
    private volatile Incarnation self;
    private volatile boolean closed;
    private PeerServer server;
    private Thread timeoutChecker;

    private PeerNetwork(Incarnation self, FailureDomain domain, Ticker ticker, PeerListener listener) {
        this.self = self;
        this.domain = domain;
        this.ticker = ticker;
        this.listener = listener;
        this.lastFailedHandshakeLogMillis = new AtomicLong(ticker.millis() - FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS);
    }

    /** Starts listening on the address; port 0 selects a free port. */
    public static PeerNetwork start(
            Incarnation self, FailureDomain domain, InetSocketAddress address, Ticker ticker, PeerListener listener)
            throws IOException {
        PeerNetwork network = new PeerNetwork(self, domain, ticker, listener);
        network.server = PeerServer.start(address, network::runConnection);
        network.timeoutChecker = Thread.ofVirtual().name("peer-check").start(network::checkTimeoutsUntilClosed);
        return network;
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
    public synchronized void connectTo(Collection<InetSocketAddress> addresses) {
        Set<InetSocketAddress> wanted = new HashSet<>(closed ? List.of() : addresses);
        wanted.remove(address());
        dialers.entrySet().removeIf(e -> {
            if (wanted.contains(e.getKey())) {
                return false;
            }
            e.getValue().interrupt();
            return true;
        });
        for (InetSocketAddress address : wanted) {
            dialers.computeIfAbsent(
                    address, a -> Thread.ofVirtual().name("peer-dial-" + a).start(() -> dialUntilRemoved(a)));
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
        return broadcast(
                message, connected().stream().map(Incarnation::instance).collect(Collectors.toSet()));
    }

    /** Queues the message for each given peer that is connected and returns for how many peers it was queued. */
    public int broadcast(PeerMessage message, Set<InstanceId> to) {
        byte[] frame;
        try {
            frame = PeerCodec.encode(message);
        } catch (PeerException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        Map<InstanceId, PeerConnection> newest = new HashMap<>();
        for (PeerConnection c : established) {
            if (c.isOpen()) {
                newest.merge(c.peer().instance(), c, PeerNetwork::laterIncarnation);
            }
        }
        newest.keySet().retainAll(to);
        int sent = 0;
        for (PeerConnection c : newest.values()) {
            try {
                c.sendFrame(frame);
                sent++;
            } catch (PeerException e) {
                LOG.log(
                        System.Logger.Level.DEBUG,
                        "[peer] Broadcast was not sent to {0}: {1}",
                        c.peer(),
                        e.getMessage());
            }
        }
        return sent;
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        connectTo(List.of());
        timeoutChecker.interrupt();
        server.close();
        connections.forEach(PeerConnection::close);
    }

    /** Returns whether a connection to the peer is open. */
    public boolean isConnected(InstanceId instance) {
        return findOpen(instance).isPresent();
    }

    private PeerConnection requireConnection(InstanceId to) throws PeerException {
        return findOpen(to).orElseThrow(() -> PeerException.of(Kind.NOT_CONNECTED, to));
    }

    private Optional<PeerConnection> findOpen(InstanceId instance) {
        return established.stream()
                .filter(c -> c.isOpen() && c.peer().instance().equals(instance))
                .reduce(PeerNetwork::laterIncarnation);
    }

    /** Returns the connection to the later incarnation of the peer. */
    private static PeerConnection laterIncarnation(PeerConnection a, PeerConnection b) {
        return a.peer().number() >= b.peer().number() ? a : b;
    }

    /** Runs one connection from the handshake until it closes; a failure closes this connection only. */
    private PeerConnection runConnection(Socket socket) {
        PeerConnection connection = PeerConnection.of(socket, ticker, listener, traffic);
        connections.add(connection);
        if (closed) {
            connection.close();
        }
        try {
            Incarnation announced = self;
            connection.handshake(Hello.of(announced, domain));
            if (connection.peer().instance().equals(self.instance())) {
                throw PeerException.of(Kind.MALFORMED, "Hello", "the peer uses the id of this instance");
            }
            established.add(connection);
            if (!self.equals(announced)) {
                // The broadcast of a new incarnation may have been sent before this connection was established.
                connection.send(Hello.of(self, domain));
            }
            connection.run();
        } catch (IOException | PeerException e) {
            connection.close(PeerConnection.describeFailure(e));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "[peer] Peer listener threw an exception", e);
            connection.close("peer listener threw " + e);
        } finally {
            established.remove(connection);
            connections.remove(connection);
            connection.close();
            logClosed(connection);
        }
        return connection;
    }

    /** Logs at most one failed handshake per second, so that clients that are not peers cannot flood the log. */
    private void logClosed(PeerConnection connection) {
        long now = ticker.millis();
        long last = lastFailedHandshakeLogMillis.get();
        if (isSelf(connection)) {
            return;
        }
        if (connection.isHandshakeDone()
                || (now - last >= FAILED_HANDSHAKE_LOG_INTERVAL_MILLIS
                        && lastFailedHandshakeLogMillis.compareAndSet(last, now))) {
            LOG.log(
                    System.Logger.Level.INFO,
                    "[peer] Connection to {0} closed: {1}",
                    connection.peerName(),
                    connection.closeReason());
        }
    }

    /**
     * Returns whether the connection leads back to this instance. The wildcard listen address does not show which of
     * the listed addresses are its own.
     */
    private boolean isSelf(PeerConnection connection) {
        return connection.isHandshakeDone() && connection.peer().equals(self);
    }

    private void dialUntilRemoved(InetSocketAddress address) {
        long backoff = MIN_BACKOFF_MILLIS;
        while (!closed && !Thread.currentThread().isInterrupted()) {
            long start = ticker.millis();
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
                if (isSelf(runConnection(socket))) {
                    LOG.log(
                            System.Logger.Level.DEBUG,
                            "[peer] Stopped dialling {0}: it is an address of this instance",
                            address);
                    return;
                }
            } catch (IOException e) {
                LOG.log(System.Logger.Level.DEBUG, "[peer] Cannot connect to {0}: {1}", address, e.getMessage());
            }
            if (ticker.millis() - start > MAX_BACKOFF_MILLIS) {
                backoff = MIN_BACKOFF_MILLIS;
            }
            try {
                Thread.sleep(ThreadLocalRandom.current().nextLong(backoff / 2, backoff + 1));
            } catch (InterruptedException e) {
                return;
            }
            backoff = Math.min(MAX_BACKOFF_MILLIS, backoff * 2);
        }
    }

    private void checkTimeoutsUntilClosed() {
        while (!closed) {
            connections.forEach(PeerConnection::checkTimeouts);
            try {
                Thread.sleep(TIMEOUT_CHECK_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
