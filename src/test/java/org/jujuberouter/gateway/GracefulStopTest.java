package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.jujuberouter.platform.standin.EngineStandin.Behaviour;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against requests that an instance has read and that end without an answer because it stops. */
class GracefulStopTest {
    private static final String DEADLINE = "X-Jujuberouter-Deadline-Ms";

    private StandinSite site;
    private InstanceFixture fixture;
    private InstanceFixture.Instance instance;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(3, 2, 20);
        fixture = InstanceFixture.before(site, files);
        instance = fixture.start("first");
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        site.close();
    }

    private CompletableFuture<HttpResponse<String>> send(String path, String id, long deadlineMs) {
        return fixture.send(instance.base(), path, id, DEADLINE, Long.toString(deadlineMs));
    }

    private long runs(String id) {
        return site.ledgers().stream()
                .flatMap(e -> e.runs().stream())
                .filter(id::equals)
                .count();
    }

    private CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(() -> instance.daemon().close());
    }

    /** A call that reached an endpoint late in a stop was cut when the instance ended. */
    @Test
    void refusesCallsThatCannotEndBeforeTheInstanceEnds() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        CompletableFuture<HttpResponse<String>> early = send("/archive/x", "early", 6_500);
        InstanceFixture.await(() -> runs("early") == 1);
        CompletableFuture<Void> stop = stop();
        Thread.sleep(4_500);
        HttpResponse<String> late = send("/post/x", "late", 4_000).join();
        assertEquals(503, late.statusCode());
        assertTrue(late.headers().firstValue("Retry-After").isPresent());
        assertEquals(0, runs("late"));
        assertEquals(503, send("/chat/stream", "stream", 4_000).join().statusCode());
        assertEquals(504, early.join().statusCode());
        stop.join();
    }

    /** Callers of a failure domain whose instances all stop have no other instance to turn to. */
    @Test
    void servesCallsWhoseDeadlineIsInTimeWhileOthersAreRunning() throws Exception {
        site.ledgers().getFirst().setBehaviour(Behaviour.HANG);
        site.ledgers().getLast().setBehaviour(Behaviour.HANG);
        CompletableFuture<HttpResponse<String>> early = send("/archive/x", "early", 6_500);
        InstanceFixture.await(() -> runs("early") == 1);
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.ANSWER));
        CompletableFuture<Void> stop = stop();
        Thread.sleep(3_500);
        assertEquals(200, send("/post/x", "late", 2_000).join().statusCode());
        assertEquals(504, early.join().statusCode());
        stop.join();
    }

    /** The end of the instance closed the connection of a call that was running, without an answer. */
    @Test
    void answersTheCallsThatAreRunningWhenTheInstanceEnds() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        CompletableFuture<HttpResponse<String>> running = send("/archive/x", "running", 20_000);
        InstanceFixture.await(() -> runs("running") == 1);
        stop().join();
        assertEquals(504, running.join().statusCode());
        assertEquals(1, runs("running"));
    }

    /** Connections that had just been opened were closed at the next check, before their request arrived. */
    @Test
    void answersTheRequestOnAConnectionThatIsOpenedDuringTheStop() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        CompletableFuture<HttpResponse<String>> early = send("/archive/x", "early", 6_500);
        InstanceFixture.await(() -> runs("early") == 1);
        CompletableFuture<Void> stop = stop();
        Thread.sleep(3_500);
        try (Socket socket =
                new Socket(instance.base().getHost(), instance.base().getPort())) {
            Thread.sleep(300);
            writeRequest(socket, "late");
            String answer = new String(readToEnd(socket), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 503"), "answer: " + answer);
        }
        assertEquals(504, early.join().statusCode());
        stop.join();
    }

    /** The endpoint has answered, but the caller has not read everything yet. */
    @Test
    void writesTheWholeAnswerToASlowCallerBeforeItEnds() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.LARGE_BODY));
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(
                    instance.base().getHost(), instance.base().getPort()));
            writeRequest(socket, "slow-reader");
            InstanceFixture.await(() -> runs("slow-reader") == 1);
            CompletableFuture<Void> stop = stop();
            Thread.sleep(3_500);
            String answer = new String(readToEnd(socket), StandardCharsets.US_ASCII);
            assertTrue(answer.startsWith("HTTP/1.1 200 OK"), answer.lines().findFirst()::toString);
            assertEquals(
                    Long.parseLong(answer.replaceFirst("(?is).*?content-length: (\\d+).*", "$1")),
                    answer.substring(answer.indexOf("\r\n\r\n") + 4).length());
            stop.join();
        }
    }

    private static void writeRequest(Socket socket, String id) throws IOException {
        String request = "GET /read/x HTTP/1.1\r\nHost: " + StandinSite.HOST + "\r\nX-Jujuberouter-Attempt-Id: " + id
                + "\r\nAuthorization: Bearer " + StandinSite.KEY + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    private static byte[] readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        try (InputStream in = socket.getInputStream()) {
            return in.readAllBytes();
        }
    }
}
