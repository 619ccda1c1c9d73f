package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that are rejected for good although the limits of the configuration in force allow them. */
class CallerLimitsTest {
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final long IDLE_TIMEOUT_MS = 5_000;

    private final List<Connection> connections = new ArrayList<>();
    private final List<GatewayDaemon> daemons = new ArrayList<>();
    private StandinSite site;
    private InstanceFixture fixture;
    private InstanceFixture.Instance instance;

    @TempDir
    private Path files;

    @BeforeEach
    void start() throws Exception {
        site = StandinSite.start(1, 1, 5);
        fixture = InstanceFixture.before(site, files);
        instance = fixture.start("first");
        daemons.add(instance.daemon());
    }

    @AfterEach
    void stop() throws IOException {
        for (Connection c : connections) {
            c.socket.close();
        }
        fixture.close();
        daemons.forEach(GatewayDaemon::close);
        site.close();
    }

    /** A caller's connection that is kept open. */
    private final class Connection {
        private final Socket socket;
        private final BufferedReader in;
        private int calls;

        private Connection(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(8_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            connections.add(this);
        }

        private void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Returns the status and reads the whole response. */
        private int readStatus() throws IOException {
            String statusLine = in.readLine();
            int length = 0;
            for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                    length = Integer.parseInt(
                            line.substring(line.indexOf(':') + 1).strip());
                }
            }
            in.skip(length);
            return Integer.parseInt(statusLine.split(" ")[1]);
        }

        /** Sends a request with a line and a header field of the given sizes and returns the status of its response. */
        private int call(int lineBytes, int fieldBytes) throws IOException {
            String path = "/read/x?members=";
            String line = "GET " + path + "1".repeat(Math.max(0, lineBytes - path.length() - 4));
            write(line + " HTTP/1.1\r\nX-Padding: " + "x".repeat(fieldBytes) + "\r\n" + callHeaders());
            return readStatus();
        }

        private String callHeaders() {
            return "Host: " + StandinSite.HOST + "\r\nX-Jujuberouter-Attempt-Id: c" + connections.indexOf(this) + "-"
                    + calls++ + "\r\nX-Jujuberouter-Deadline-Ms: 4000\r\nAuthorization: Bearer " + StandinSite.KEY
                    + "\r\n\r\n";
        }
    }

    private Connection connect() throws IOException {
        return new Connection(instance.base().getPort());
    }

    /** Reads whose query names many members were answered 431, which callers do not send again. */
    @Test
    void servesARequestWhoseLineIsAsLongAsTheLimitForHeads() throws Exception {
        assertEquals(200, connect().call(9_000, 10));
        assertEquals(200, connect().call(MAX_HEADER_BYTES, 10));
    }

    @Test
    void rejectsALineOrHeaderFieldsThatExceedTheLimit() throws Exception {
        assertEquals(431, connect().call(MAX_HEADER_BYTES + 1, 10));
        assertEquals(431, connect().call(100, MAX_HEADER_BYTES));
    }

    /** What is kept of a head that never ends must be bounded. */
    @Test
    void rejectsAHeadWithoutEndOnceItExceedsTheLimit() throws Exception {
        Connection line = connect();
        line.write("GET /read/" + "x".repeat(2 * MAX_HEADER_BYTES));
        assertEquals(431, line.readStatus());
        Connection field = connect();
        field.write("GET /read/x HTTP/1.1\r\nX-Padding: " + "x".repeat(2 * MAX_HEADER_BYTES));
        assertEquals(431, field.readStatus());
    }

    @Test
    void appliesAHigherLimitForHeadsToConnectionsThatAreOpen() throws Exception {
        Connection kept = connect();
        assertEquals(200, kept.call(100, 10));
        site.limitCallers(3 * MAX_HEADER_BYTES, IDLE_TIMEOUT_MS);
        InstanceFixture.await(() -> isServed(2 * MAX_HEADER_BYTES));
        assertEquals(200, kept.call(2 * MAX_HEADER_BYTES, 10));
        assertEquals(200, kept.call(100, 2 * MAX_HEADER_BYTES));
    }

    @Test
    void appliesALowerLimitForHeadsToConnectionsThatAreOpen() throws Exception {
        Connection kept = connect();
        assertEquals(200, kept.call(9_000, 10));
        site.limitCallers(8_000, IDLE_TIMEOUT_MS);
        InstanceFixture.await(() -> !isServed(9_000));
        assertEquals(431, kept.call(9_000, 10));
    }

    private boolean isServed(int lineBytes) {
        try {
            return connect().call(lineBytes, 10) == 200;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** The response under way must reach its caller whole. */
    @Test
    void rejectsATooLongHeadBehindARequestOnlyAfterTheResponseToThat() throws Exception {
        Connection c = connect();
        c.write("GET /read/x HTTP/1.1\r\n" + c.callHeaders() + "GET /read/" + "x".repeat(3 * MAX_HEADER_BYTES));
        assertEquals(200, c.readStatus());
        assertEquals(431, c.readStatus());
    }

    /** Without a configuration, the limits are not known either. */
    @Test
    void refusesForNowWhatTheConfigurationMayAllowBeforeItHasBeenRead() throws Exception {
        Path file = files.resolve("starting.json");
        int port = site.writeNodeFile(file, "starting", StandinSite.freePort()).getPort();
        daemons.add(GatewayDaemon.start(NodeFile.read(file), HttpPlatformAdapter.create()));
        assertEquals(503, new Connection(port).call(2 * MAX_HEADER_BYTES, 10));
        Connection large = new Connection(port);
        int bytes = 5 << 20;
        large.write("POST /post/x HTTP/1.1\r\nContent-Length: " + bytes + "\r\n" + large.callHeaders());
        large.write("x".repeat(bytes));
        assertEquals(503, large.readStatus());
    }

    /** Callers reuse connections for as long as the configuration in force allows. */
    @Test
    void keepsAnIdleConnectionForTheTimeOfTheConfigurationInForce() throws Exception {
        long shortMs = 1_000;
        site.limitCallers(MAX_HEADER_BYTES, shortMs);
        InstanceFixture.await(() -> isServed(100));
        // The timeout before the last change still holds, so that a change does not shorten it for open connections.
        site.limitCallers(MAX_HEADER_BYTES, shortMs);
        Thread.sleep(500);
        Connection kept = connect();
        assertEquals(200, kept.call(100, 10));
        site.limitCallers(MAX_HEADER_BYTES, IDLE_TIMEOUT_MS);
        Thread.sleep(3 * shortMs);
        assertEquals(200, kept.call(100, 10));
        assertTrue(kept.socket.isConnected());
    }
}
