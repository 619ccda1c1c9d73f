package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against instances that lose their heap to their callers and stay alive without serving. */
@Tag("process")
class LostHeapTest {
    private static final int BODY_BYTES = 1 << 20;

    @TempDir
    private Path directory;

    private static int smallCallStatus(HttpClient client, int port, int id) throws InterruptedException {
        HttpRequest request = StandinSite.request(URI.create("http://127.0.0.1:" + port + "/read/x"), "small-" + id)
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString("x".repeat(4_000)))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void awaitServing(HttpClient client, int port) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        for (int i = 0; smallCallStatus(client, port, i) != 200; i++) {
            assertTrue(System.nanoTime() < end, "the instance does not serve");
            Thread.sleep(100);
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** What is done to an instance that serves. */
    @FunctionalInterface
    private interface Scenario {
        void run(ChildProcess process, HttpClient client, int port, List<Socket> sockets) throws Exception;
    }

    /** Starts an instance with the heap option, runs the scenario and closes its sockets. */
    private void withInstance(String heap, Scenario scenario) throws Exception {
        Path node = directory.resolve("node.json");
        List<Socket> sockets = new ArrayList<>();
        try (StandinSite site = StandinSite.start(1, 1, 1);
                HttpClient client = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build()) {
            int port = site.writeNodeFile(node, "one").getPort();
            try (ChildProcess process =
                    ChildProcess.startWithHeap(heap, output(), "serve", "--node-file", node.toString())) {
                awaitServing(client, port);
                scenario.run(process, client, port, sockets);
            } finally {
                for (Socket s : sockets) {
                    s.close();
                }
            }
        }
    }

    private Path output() {
        return directory.resolve("output");
    }

    /** 120 bodies of 1 MB, each but its last byte, are more than the heap; one body is far below its own limit. */
    @Test
    void servesSmallCallsBesideBodiesThatExceedTheHeap() throws Exception {
        withInstance("-Xmx64m", (process, client, port, sockets) -> {
            String body = "x".repeat(BODY_BYTES - 1);
            for (int i = 0; i < 120; i++) {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                sockets.add(socket);
                Thread.ofVirtual().start(() -> {
                    try {
                        send(
                                socket,
                                "POST /post/x HTTP/1.1\r\nHost: " + StandinSite.HOST
                                        + "\r\nX-Jujuberouter-Attempt-Id: large\r\nContent-Length: " + BODY_BYTES
                                        + "\r\n\r\n" + body);
                    } catch (IOException e) {
                        // The instance has closed the connection, which is no failure of it.
                        return;
                    }
                });
            }
            for (int i = 0; i < 40; i++) {
                assertEquals(200, smallCallStatus(client, port, 1_000 + i), Files.readString(output()));
                Thread.sleep(50);
            }
            assertTrue(process.isAlive());
        });
    }

    /** The heads of 1,500 requests that do not end are more than the heap; they are no bodies, so no budget holds. */
    @Test
    void exitsWithinASecondOfTheLossOfItsHeap() throws Exception {
        withInstance("-Xmx16m", (process, client, port, sockets) -> {
            String head = "GET /read/x HTTP/1.1\r\nHost: " + StandinSite.HOST + "\r\nX: ";
            sendHeads(port, head + "x".repeat(15_500), sockets);
            long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            while (process.isAlive() && !Files.readString(output()).contains("the process exits")) {
                assertTrue(System.nanoTime() < end, "alive without a heap:\n" + Files.readString(output()));
                Thread.sleep(5);
            }
            assertEquals(70, process.awaitExit(1), Files.readString(output()));
        });
    }

    private static void sendHeads(int port, String head, List<Socket> sockets) throws IOException {
        for (int i = 0; i < 1_500; i++) {
            Socket socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                send(socket, head);
            } catch (IOException e) {
                // The instance may have ended, or be collecting garbage.
                continue;
            }
        }
    }
}
