package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.EngineStandin.Behaviour;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a burst of large prompts that fills the heap of an instance and takes the small calls with it. */
class BoundedBodiesTest {
    private static final int LARGE = 400_000;

    private static final String REFUSAL_END = "no memory for the body\n";

    private final BodyBudget bodies = BodyBudget.of(1_000_000);
    private final List<Socket> sockets = new ArrayList<>();
    private StandinSite site;
    private InstanceFixture fixture;
    private GatewayDaemon daemon;
    private URI base;
    private int ids;

    @TempDir
    private Path files;

    @BeforeEach
    void start() throws Exception {
        site = StandinSite.start(1, 1, 20);
        fixture = InstanceFixture.before(site, files);
        Path file = files.resolve("first.json");
        base = URI.create(
                "http://127.0.0.1:" + site.writeNodeFile(file, "first").getPort());
        daemon = GatewayDaemon.start(NodeFile.read(file), HttpPlatformAdapter.create(), bodies);
        InstanceFixture.await(() -> smallCallStatus() == 200);
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket s : sockets) {
            s.close();
        }
        // Whatever the test did, its calls have returned what they held.
        InstanceFixture.await(() -> bodies.heldBytes() == 0);
        fixture.close();
        daemon.close();
        site.close();
    }

    private int smallCallStatus() {
        return fixture.send(base, "/read/x", "small-" + ids++).join().statusCode();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), base.getPort());
        socket.setSoTimeout(8_000);
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private String head(String id, String... fields) {
        return "POST /post/x HTTP/1.1\r\nHost: " + StandinSite.HOST + "\r\nX-Jujuberouter-Attempt-Id: " + id
                + "\r\nAuthorization: Bearer " + StandinSite.KEY + "\r\nX-Jujuberouter-Token-Usage: 1000,100\r\n"
                + String.join("\r\n", fields) + "\r\n\r\n";
    }

    /** Sends the head of a large request and a part of its body, so that its memory is reserved. */
    private Socket hold(String id) throws Exception {
        long before = bodies.heldBytes();
        Socket socket = connect();
        send(socket, head(id, "Content-Length: " + LARGE) + "x".repeat(1_000));
        InstanceFixture.await(() -> bodies.heldBytes() == before + LARGE);
        return socket;
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        int b = socket.getInputStream().read();
        while (b >= 0) {
            text.append((char) b);
            if (text.indexOf(end) >= 0) {
                return text.toString();
            }
            b = socket.getInputStream().read();
        }
        return text.toString();
    }

    private boolean wasRun(String id) {
        return site.ledgers().getFirst().runs().contains(id);
    }

    private static void assertRefused(String response, String id) {
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("retry-after: 0."), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("connection: close"), response);
        assertTrue(response.contains(id), response);
    }

    @Test
    void refusesALargeBodyBeforeItIsReadAndServesSmallCalls() throws Exception {
        Socket first = hold("first");
        hold("second");
        Socket refused = connect();
        send(refused, head("refused", "Content-Length: " + LARGE));
        assertRefused(readUntil(refused, REFUSAL_END), "refused");
        assertEquals(2 * LARGE, bodies.heldBytes());
        for (int i = 0; i < 20; i++) {
            assertEquals(200, smallCallStatus());
        }
        send(first, "x".repeat(LARGE - 1_000));
        assertTrue(readUntil(first, "\r\n").startsWith("HTTP/1.1 200 "));
        assertTrue(wasRun("first"));
        assertFalse(wasRun("refused"));
    }

    /** Closing the connection with unread bytes resets it, and the caller would see a failure that may have run. */
    @Test
    void letsACallerThatSendsItsBodyFirstReadTheRefusal() throws Exception {
        hold("first");
        hold("second");
        Socket refused = connect();
        send(refused, head("refused", "Content-Length: " + LARGE));
        for (int sent = 0; sent < LARGE; sent += LARGE / 20) {
            send(refused, "x".repeat(LARGE / 20));
            Thread.sleep(10);
        }
        assertRefused(readUntil(refused, REFUSAL_END), "refused");
        assertEquals(-1, refused.getInputStream().read());
    }

    @Test
    void refusesABodyOfUnknownLengthWhenItOutgrowsTheRest() throws Exception {
        hold("first");
        hold("second");
        Socket chunked = connect();
        send(chunked, head("chunked", "Transfer-Encoding: chunked"));
        for (int i = 0; i < 10; i++) {
            send(chunked, "8000\r\n" + "x".repeat(0x8000) + "\r\n");
        }
        assertRefused(readUntil(chunked, REFUSAL_END), "chunked");
        send(chunked, "0\r\n\r\n");
        assertEquals(-1, chunked.getInputStream().read());
        assertFalse(wasRun("chunked"));
    }

    @Test
    void asksForNoBodyThatItCannotHold() throws Exception {
        hold("first");
        hold("second");
        Socket expecting = connect();
        send(expecting, head("expecting", "Content-Length: " + LARGE, "Expect: 100-continue"));
        assertRefused(readUntil(expecting, REFUSAL_END), "expecting");
    }

    /** A retry after the refusal would not help. */
    @Test
    void refusesABodyThatItCanNeverHoldAsTooLarge() throws Exception {
        Socket socket = connect();
        send(socket, head("too-large", "Content-Length: 900000"));
        assertTrue(readUntil(socket, "\r\n").startsWith("HTTP/1.1 413 "));
    }

    @Test
    void returnsTheMemoryOfCallsWhoseCallersDisconnectOrWhoseEndpointsBreak() throws Exception {
        hold("first").close();
        InstanceFixture.await(() -> bodies.heldBytes() == 0);
        site.ledgers().getFirst().setBehaviour(Behaviour.BREAK);
        Socket broken = hold("broken");
        send(broken, "x".repeat(LARGE - 1_000));
        assertTrue(readUntil(broken, "\r\n").startsWith("HTTP/1.1 502 "));
        site.ledgers().getFirst().setBehaviour(Behaviour.HANG);
        Socket hanging = hold("hanging");
        send(hanging, "x".repeat(LARGE - 1_000));
        InstanceFixture.await(() -> wasRun("hanging"));
        assertEquals(LARGE, bodies.heldBytes());
        hanging.close();
        InstanceFixture.await(() -> bodies.heldBytes() == 0);
    }

    /** A caller could otherwise hold a later body in memory that is not counted. */
    @Test
    void dropsAPipelinedBodyThatDoesNotFitAndAnswersTheCallUnderWay() throws Exception {
        site.ledgers().getFirst().setBehaviour(Behaviour.HANG);
        hold("first");
        hold("second");
        Socket pipelining = connect();
        send(pipelining, head("under-way", "Content-Length: 4", "X-Jujuberouter-Deadline-Ms: 2000") + "body");
        InstanceFixture.await(() -> wasRun("under-way"));
        send(pipelining, head("pipelined", "Content-Length: " + LARGE) + "x".repeat(LARGE));
        String response = readUntil(pipelining, "the deadline passed\n");
        assertTrue(response.startsWith("HTTP/1.1 504 "), response);
        assertEquals(-1, pipelining.getInputStream().read());
        assertFalse(wasRun("pipelined"));
    }

    @Test
    void servesAPipelinedRequestThatFits() throws Exception {
        Socket pipelining = connect();
        send(pipelining, head("one", "Content-Length: 4") + "body" + head("two", "Content-Length: 50000"));
        send(pipelining, "x".repeat(50_000));
        assertTrue(readUntil(pipelining, "HTTP/1.1 200 ").startsWith("HTTP/1.1 200 "));
        readUntil(pipelining, "HTTP/1.1 200 ");
        InstanceFixture.await(() -> wasRun("two"));
    }
}
