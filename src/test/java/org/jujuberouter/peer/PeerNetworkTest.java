package org.jujuberouter.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.EndpointTarget;
import org.jujuberouter.peer.PeerMessage.Hello;
import org.jujuberouter.peer.PeerMessage.PermitGranted;
import org.jujuberouter.peer.PeerMessage.PermitReply;
import org.jujuberouter.peer.PeerMessage.PermitRequest;
import org.jujuberouter.peer.PeerMessage.SettingsPull;
import org.jujuberouter.peer.PeerMessage.SettingsPush;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the matching of replies to calls, timeouts and reconnects, and limits on the effects of clients that are not
 * peers.
 */
class PeerNetworkTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("udon");
    private static final EndpointId ENDPOINT = EndpointId.of("e1");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
    }

    @Test
    void matchesEachReplyToItsCall() throws Exception {
        PeerNetwork owner = start("owner", grantingListener());
        PeerNetwork requester = start("requester", (from, m) -> received.add(m));
        connect(requester, owner);
        List<Thread> threads = new ArrayList<>();
        BlockingQueue<Boolean> matched = new LinkedBlockingQueue<>();
        for (int i = 1; i <= 200; i++) {
            long tokens = i;
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    PermitReply reply = requester.call(id("owner"), request(tokens), TIMEOUT);
                    matched.add(((PermitGranted) reply.decision()).permitId() == tokens);
                } catch (PeerException | InterruptedException e) {
                    matched.add(false);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(200, matched.stream().filter(m -> m).count());
    }

    /** A peer that is reported as connected must be reachable at once, also from other threads. */
    @Test
    void sendsToAPeerAsSoonAsItIsReportedAsConnected() throws Exception {
        for (int i = 0; i < 100; i++) {
            PeerNetwork owner = start("owner", grantingListener());
            PeerNetwork requester = start("requester", (from, m) -> received.add(m));
            requester.connectTo(List.of(owner.address()));
            while (requester.connected().isEmpty()) {
                Thread.onSpinWait();
            }
            requester.send(id("owner"), new PeerMessage.WorkEnded(RequestId.of("r" + i)));
            requester.close();
            owner.close();
        }
    }

    @Test
    void timesOutACallAndPassesTheLateReplyToTheListener() throws Exception {
        BlockingQueue<Runnable> later = new LinkedBlockingQueue<>();
        PeerNetwork owner =
                start("owner", (from, m) -> later.add(() -> grantingListener().onMessage(from, m)));
        PeerNetwork requester = start("requester", (from, m) -> received.add(m));
        connect(requester, owner);
        PeerException e =
                assertThrows(PeerException.class, () -> requester.call(id("owner"), request(5), Duration.ofMillis(50)));
        assertEquals(Kind.CALL_TIMEOUT, e.kind());
        later.take().run();
        assertTrue(
                received.poll(5, TimeUnit.SECONDS) instanceof PermitReply,
                "a late grant must reach the listener, which releases it");
    }

    @Test
    void servesPeersWhileOtherClientsSendGarbage() throws Exception {
        PeerNetwork owner = start("owner", grantingListener());
        Random random = new Random(7);
        for (int i = 0; i < 50; i++) {
            Socket client =
                    new Socket(owner.address().getAddress(), owner.address().getPort());
            resources.add(client);
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            client.getOutputStream().write(i % 2 == 0 ? bytes : "GET / HTTP/1.1\r\n\r\n".getBytes());
        }
        PeerNetwork requester = start("requester", (from, m) -> {});
        connect(requester, owner);
        assertTrue(requester.call(id("owner"), request(1), TIMEOUT).decision() instanceof PermitGranted);
        assertEquals(1, owner.connected().size());
    }

    @Test
    void keepsIdleConnectionsOpenAndClosesSilentOnes() throws Exception {
        PeerNetwork owner = start("owner", grantingListener());
        PeerNetwork idle = start("idle", (from, m) -> {});
        connect(idle, owner);
        try (Socket silent =
                new Socket(owner.address().getAddress(), owner.address().getPort())) {
            sendHello(silent, "silent");
            await(() -> owner.connected().size() == 2);
            long start = System.nanoTime();
            await(() -> owner.connected().size() == 1);
            long millis = (System.nanoTime() - start) / 1_000_000;
            assertTrue(millis >= 2500 && millis <= 4500, "closed after " + millis + " ms");
        }
        assertEquals("idle", owner.connected().iterator().next().instance().value());
    }

    @Test
    void reconnectsWhenThePeerRestartsWithANewIncarnation() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), portBelowEphemeralRange());
        PeerNetwork first =
                PeerNetwork.start(Incarnation.of(id("owner"), 1), DOMAIN, address, Ticker.system(), grantingListener());
        resources.add(first);
        PeerNetwork requester = start("requester", (from, m) -> {});
        connect(requester, first);
        first.close();
        await(() -> requester.connected().isEmpty());
        PeerNetwork second =
                PeerNetwork.start(Incarnation.of(id("owner"), 2), DOMAIN, address, Ticker.system(), grantingListener());
        resources.add(second);
        await(() -> requester.connected().contains(Incarnation.of(id("owner"), 2)));
        second.announce(Incarnation.of(id("owner"), 3));
        await(() -> requester.connected().contains(Incarnation.of(id("owner"), 3)));
    }

    /**
     * Returns a free port below the ephemeral range. An outgoing connection of another process could take an ephemeral
     * port between the end of the first listener and the start of the second.
     */
    private static int portBelowEphemeralRange() throws IOException {
        for (int port = 20_000 + (int) (ProcessHandle.current().pid() % 5_000); port < 32_000; port++) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (java.net.BindException e) {
                // The port is in use; try the next one.
            }
        }
        throw new IOException("no free port below the ephemeral range");
    }

    @Test
    void limitsTheSendQueueOfAPeerThatDoesNotRead() throws Exception {
        PeerNetwork owner = start("owner", grantingListener());
        try (ServerSocket nonReading = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            owner.connectTo(List.of((InetSocketAddress) nonReading.getLocalSocketAddress()));
            Socket accepted = nonReading.accept();
            resources.add(accepted);
            sendHello(accepted, "non-reading");
            await(() -> owner.connected().size() == 1);
            SettingsPush push = new SettingsPush(1, new byte[PeerCodec.MAX_DOCUMENT_BYTES]);
            PeerException e = assertThrows(PeerException.class, () -> {
                for (int i = 0; i < 64; i++) {
                    owner.send(id("non-reading"), push);
                }
            });
            assertEquals(Kind.QUEUE_FULL, e.kind());
        }
    }

    /** The second network has the same instance id and represents another address of the first one. */
    @Test
    void keepsNoConnectionToItself() throws Exception {
        PeerNetwork self = start("a", (from, m) -> {});
        PeerNetwork sameInstanceAtOtherAddress = start("a", (from, m) -> {});
        PeerNetwork other = start("b", (from, m) -> {});
        self.connectTo(List.of(sameInstanceAtOtherAddress.address(), self.address(), other.address()));
        await(() -> self.connected().size() == 1);
        Thread.sleep(300);
        assertEquals(Set.of(Incarnation.of(id("b"), 1)), self.connected());
    }

    @Test
    void broadcastsOnceToAPeerWithConnectionsInBothDirections() throws Exception {
        PeerNetwork a = start("a", (from, m) -> {});
        PeerNetwork b = start("b", (from, m) -> received.add(m));
        b.connectTo(List.of(a.address(), b.address()));
        connect(a, b);
        assertEquals(1, a.broadcast(new SettingsPull(4)));
        assertEquals(new SettingsPull(4), received.poll(5, TimeUnit.SECONDS));
        assertEquals(null, received.poll(200, TimeUnit.MILLISECONDS));
    }

    private PeerNetwork start(String name, PeerListener listener) throws IOException {
        PeerNetwork network = PeerNetwork.start(
                Incarnation.of(id(name), 1),
                DOMAIN,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Ticker.system(),
                listener);
        resources.add(network);
        return network;
    }

    /** A restart in place must not fail because the listener of the ended run still holds the port. */
    @Test
    void releasesItsPortWhenItIsClosed() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), portBelowEphemeralRange());
        for (int i = 1; i <= 100; i++) {
            PeerNetwork.start(Incarnation.of(id("owner"), i), DOMAIN, address, Ticker.system(), grantingListener())
                    .close();
        }
    }

    @Test
    void callsTheListenerOnTheEventLoopOnWhichTheNetworkWasStarted() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        resources.add(() -> group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS));
        EventLoop loop = group.next();
        BlockingQueue<Boolean> onLoop = new LinkedBlockingQueue<>();
        PeerNetwork owner = PeerNetwork.startOn(
                loop,
                Incarnation.of(id("owner"), 1),
                DOMAIN,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Ticker.system(),
                (from, m) -> onLoop.add(loop.inEventLoop()));
        resources.add(owner);
        PeerNetwork sender = start("sender", (from, m) -> {});
        connect(sender, owner);
        for (int i = 0; i < 3; i++) {
            sender.send(id("owner"), new SettingsPull(i));
            assertEquals(true, onLoop.poll(5, TimeUnit.SECONDS));
        }
    }

    /** The owner of a shared event loop may end it before the network is closed. */
    @Test
    void closesAfterItsEventLoopHasEnded() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PeerNetwork network = PeerNetwork.startOn(
                group.next(),
                Incarnation.of(id("owner"), 1),
                DOMAIN,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                Ticker.system(),
                (from, m) -> {});
        resources.add(network);
        PeerNetwork sender = start("sender", (from, m) -> {});
        connect(sender, network);
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
        network.connectTo(List.of());
        network.close();
        assertEquals(Set.of(), network.connected());
    }

    /** Failed dials must leave nothing behind: an instance may list addresses of dead peers for a long time. */
    @Test
    void connectsToAPeerThatStartsToListenAfterFailedDials() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), portBelowEphemeralRange());
        PeerNetwork requester = start("requester", (from, m) -> {});
        requester.connectTo(List.of(address));
        Thread.sleep(400);
        PeerNetwork owner =
                PeerNetwork.start(Incarnation.of(id("owner"), 1), DOMAIN, address, Ticker.system(), grantingListener());
        resources.add(owner);
        await(() -> requester.connected().contains(Incarnation.of(id("owner"), 1)));
        assertTrue(requester.call(id("owner"), request(1), TIMEOUT).decision() instanceof PermitGranted);
    }

    /** The order matters for work that starts and ends within a moment. */
    @Test
    void handlesTheMessagesOfAConnectionInOrder() throws Exception {
        PeerNetwork receiver = start("receiver", (from, m) -> received.add(m));
        PeerNetwork sender = start("sender", (from, m) -> {});
        connect(sender, receiver);
        for (int i = 0; i < 500; i++) {
            sender.send(id("receiver"), new SettingsPull(i));
        }
        for (int i = 0; i < 500; i++) {
            assertEquals(new SettingsPull(i), received.poll(5, TimeUnit.SECONDS));
        }
    }

    private static PeerListener grantingListener() {
        return (from, message) -> {
            if (message instanceof PermitRequest request) {
                try {
                    from.send(new PermitReply(
                            request.callId(), new PermitGranted(request.totalTokens(), ENDPOINT, 1, 1000, "x@1")));
                } catch (PeerException e) {
                    throw new IllegalStateException(e);
                }
            }
        };
    }

    private static PermitRequest request(long tokens) {
        PermitRequest r = SampleMessages.request(new EndpointTarget(ENDPOINT));
        return new PermitRequest(
                0, r.request(), r.target(), 1, tokens, "short", r.customer(), 1, r.fingerprint(), 1000, false);
    }

    private static void connect(PeerNetwork from, PeerNetwork to) throws Exception {
        from.connectTo(List.of(to.address()));
        await(() -> !from.connected().isEmpty() && !to.connected().isEmpty());
    }

    private static void sendHello(Socket socket, String name) throws Exception {
        byte[] hello = PeerCodec.encode(Hello.of(Incarnation.of(id(name), 1), DOMAIN));
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(hello.length);
        out.write(hello);
    }

    private static InstanceId id(String name) {
        return InstanceId.of(name);
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, "the condition did not hold within 10 s");
            Thread.sleep(5);
        }
    }
}
