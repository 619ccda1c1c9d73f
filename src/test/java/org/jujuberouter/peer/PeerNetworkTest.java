package org.jujuberouter.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Guards against lost or crossed replies, connections that stay silent, and harm done by strangers. */
class PeerNetworkTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("udon");
    private static final EndpointId ENDPOINT = EndpointId.of("e1");
    private static final Duration WAIT = Duration.ofSeconds(5);

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : open) {
            resource.close();
        }
    }

    @Test
    void matchesEachReplyToItsCall() throws Exception {
        PeerNetwork owner = start("owner", answering());
        PeerNetwork asker = start("asker", (from, m) -> received.add(m));
        join(asker, owner);
        List<Thread> threads = new ArrayList<>();
        BlockingQueue<Boolean> matched = new LinkedBlockingQueue<>();
        for (int i = 1; i <= 200; i++) {
            long tokens = i;
            threads.add(Thread.ofVirtual().start(() -> {
                try {
                    PermitReply reply = asker.call(id("owner"), request(tokens), WAIT);
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

    @Test
    void givesUpACallAfterItsTimeoutAndPassesTheLateReplyOn() throws Exception {
        BlockingQueue<Runnable> later = new LinkedBlockingQueue<>();
        PeerNetwork owner =
                start("owner", (from, m) -> later.add(() -> answering().onMessage(from, m)));
        PeerNetwork asker = start("asker", (from, m) -> received.add(m));
        join(asker, owner);
        PeerException e =
                assertThrows(PeerException.class, () -> asker.call(id("owner"), request(5), Duration.ofMillis(50)));
        assertEquals(Kind.CALL_TIMEOUT, e.kind());
        later.take().run();
        assertTrue(received.poll(5, TimeUnit.SECONDS) instanceof PermitReply, "a late grant must reach its releaser");
    }

    @Test
    void servesPeersWhileStrangersSendGarbage() throws Exception {
        PeerNetwork owner = start("owner", answering());
        Random random = new Random(7);
        for (int i = 0; i < 50; i++) {
            Socket stranger =
                    new Socket(owner.address().getAddress(), owner.address().getPort());
            open.add(stranger);
            byte[] bytes = new byte[random.nextInt(300)];
            random.nextBytes(bytes);
            stranger.getOutputStream().write(i % 2 == 0 ? bytes : "GET / HTTP/1.1\r\n\r\n".getBytes());
        }
        PeerNetwork asker = start("asker", (from, m) -> {});
        join(asker, owner);
        assertTrue(asker.call(id("owner"), request(1), WAIT).decision() instanceof PermitGranted);
        assertEquals(1, owner.connected().size());
    }

    @Test
    void staysOpenWhenIdleAndClosesAPeerThatIsSilent() throws Exception {
        PeerNetwork owner = start("owner", answering());
        PeerNetwork idle = start("idle", (from, m) -> {});
        join(idle, owner);
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
    void connectsAgainWhenThePeerIsBackWithANewIncarnation() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), reservablePort());
        PeerNetwork first =
                PeerNetwork.start(Incarnation.of(id("owner"), 1), DOMAIN, address, Ticker.system(), answering());
        open.add(first);
        PeerNetwork asker = start("asker", (from, m) -> {});
        join(asker, first);
        first.close();
        await(() -> asker.connected().isEmpty());
        PeerNetwork second =
                PeerNetwork.start(Incarnation.of(id("owner"), 2), DOMAIN, address, Ticker.system(), answering());
        open.add(second);
        await(() -> asker.connected().contains(Incarnation.of(id("owner"), 2)));
        second.announce(Incarnation.of(id("owner"), 3));
        await(() -> asker.connected().contains(Incarnation.of(id("owner"), 3)));
    }

    /**
     * Returns a free port below the range from which the system takes ports of outgoing connections; another process could
     * take one of those between the end of one listener and the start of the next.
     */
    private static int reservablePort() throws IOException {
        for (int port = 20_000 + (int) (ProcessHandle.current().pid() % 5_000); port < 32_000; port++) {
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (java.net.BindException e) {
                // Taken; the next one is tried.
            }
        }
        throw new IOException("no free port below the ephemeral range");
    }

    @Test
    void boundsWhatWaitsForAPeerThatDoesNotRead() throws Exception {
        PeerNetwork owner = start("owner", answering());
        try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            owner.connectTo(List.of((InetSocketAddress) deaf.getLocalSocketAddress()));
            Socket accepted = deaf.accept();
            open.add(accepted);
            sendHello(accepted, "deaf");
            await(() -> owner.connected().size() == 1);
            SettingsPush push = new SettingsPush(1, new byte[PeerCodec.MAX_DOCUMENT_BYTES]);
            PeerException e = assertThrows(PeerException.class, () -> {
                for (int i = 0; i < 64; i++) {
                    owner.send(id("deaf"), push);
                }
            });
            assertEquals(Kind.QUEUE_FULL, e.kind());
        }
    }

    /** The second network stands for another address of the first one. */
    @Test
    void keepsNoConnectionToItself() throws Exception {
        PeerNetwork self = start("a", (from, m) -> {});
        PeerNetwork sameByAnotherAddress = start("a", (from, m) -> {});
        PeerNetwork other = start("b", (from, m) -> {});
        self.connectTo(List.of(sameByAnotherAddress.address(), self.address(), other.address()));
        await(() -> self.connected().size() == 1);
        Thread.sleep(300);
        assertEquals(Set.of(Incarnation.of(id("b"), 1)), self.connected());
    }

    @Test
    void broadcastsOnceToAPeerWithConnectionsInBothDirections() throws Exception {
        PeerNetwork a = start("a", (from, m) -> {});
        PeerNetwork b = start("b", (from, m) -> received.add(m));
        b.connectTo(List.of(a.address(), b.address()));
        join(a, b);
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
        open.add(network);
        return network;
    }

    private static PeerListener answering() {
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

    private static void join(PeerNetwork from, PeerNetwork to) throws Exception {
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
