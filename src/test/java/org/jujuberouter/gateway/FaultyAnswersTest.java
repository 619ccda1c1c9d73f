package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs an instance before engines whose answers are written byte by byte, to violate the protocol or to frame unusually. */
class FaultyAnswersTest {
    private final List<RawEngine> engines = new ArrayList<>();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private StandinSite site;
    private InstanceFixture fixture;
    private URI base;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(1, 1, 20);
        fixture = InstanceFixture.before(site, files);
        base = fixture.start("first").base();
        site.engines().forEach(e -> site.store().remove("servers/" + e.id()));
        site.ledgers().forEach(e -> site.store().remove("servers/" + e.id()));
    }

    @AfterEach
    void stopSite() throws IOException {
        fixture.close();
        for (RawEngine e : engines) {
            e.socket.close();
        }
        site.close();
    }

    /** Answers each request with the text that the function returns for its head, and closes the connection. */
    private record RawEngine(ServerSocket socket) {}

    private void startEngine(String service, Function<String, String> answers) throws Exception {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        engines.add(new RawEngine(socket));
        Thread.ofVirtual().start(() -> serve(socket, answers));
        site.store().put("servers/raw-" + engines.size(), """
                        {"Service":"%s","Address":"127.0.0.1:%d","Zone":"north","Version":"v1","Slots":8,
                         "State":"ready","ColdRemainingMs":0,"Sequence":1}""".formatted(service, socket.getLocalPort()));
        Thread.sleep(400);
    }

    private void serve(ServerSocket socket, Function<String, String> answers) {
        while (!socket.isClosed()) {
            try (Socket s = socket.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
                StringBuilder head = new StringBuilder();
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    head.append(line.toLowerCase(java.util.Locale.ROOT)).append('\n');
                }
                if (!head.isEmpty()) {
                    in.skip(Long.parseLong(field(head.toString(), "content-length")));
                    received.add(head.toString());
                    s.getOutputStream().write(answers.apply(head.toString()).getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The instance closed the connection, or the test has ended.
                continue;
            }
        }
    }

    private static String field(String head, String name) {
        return head.lines()
                .filter(l -> l.startsWith(name + ": "))
                .map(l -> l.substring(name.length() + 2))
                .findFirst()
                .orElse("");
    }

    private static String unframedStream(String head, String events) {
        return "HTTP/1.1 200 OK\r\nX-Jujuberouter-Attempt-Id: " + field(head, "x-jujuberouter-attempt-id")
                + "\r\nX-Jujuberouter-Response-Signature: signed\r\nContent-Type: text/event-stream\r\n\r\n" + events;
    }

    private static String events(int from, int to) {
        StringBuilder all = new StringBuilder();
        for (int i = from; i <= to; i++) {
            all.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
        }
        return all.toString();
    }

    private HttpResponse<String> send(String path, String id) throws Exception {
        try {
            return fixture.send(base, path, id).get(10, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException broken ? broken : e;
        }
    }

    /** A stream without length and chunks ends with its connection, also when its engine crashes within an event. */
    @Test
    void resumesAnUnframedStreamThatEndsInsideAnEvent() throws Exception {
        Function<String, String> answers = head -> field(head, "last-event-id").isEmpty()
                ? unframedStream(head, events(1, 3) + "id: 4\nda")
                : unframedStream(head, events(4, 6));
        startEngine("assistant", answers);
        startEngine("assistant", answers);
        HttpResponse<String> answer = send("/chat/stream", "unframed");
        assertEquals(200, answer.statusCode());
        assertEquals(events(1, 6), answer.body());
    }

    /** The text of an error must not be taken for events, nor may the stream look complete. */
    @Test
    void showsNothingOfAnErrorWithWhichTheNextEngineAnswersABrokenStream() throws Exception {
        Function<String, String> answers = head -> field(head, "last-event-id").isEmpty()
                ? unframedStream(head, events(1, 3) + "id: 4\nda")
                : "HTTP/1.1 500 Internal Server Error\r\nX-Jujuberouter-Attempt-Id: unsound\r\n"
                        + "X-Jujuberouter-Response-Signature: signed\r\nContent-Length: 13\r\n\r\nout of memory";
        startEngine("assistant", answers);
        startEngine("assistant", answers);
        startEngine("assistant", answers);
        assertThrows(IOException.class, () -> send("/chat/stream", "unsound"));
    }

    /** A refusal of an earlier request must not make a request that runs look as if it had not. */
    @Test
    void takesNoRefusalOfAnotherRequestForThatOfItsOwn() throws Exception {
        startEngine(
                "ledger",
                head -> "HTTP/1.1 503 Service Unavailable\r\nX-Jujuberouter-Attempt-Id: earlier\r\n"
                        + "X-Jujuberouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nX-Jujuberouter-Attempt-Id: post\r\n"
                        + "X-Jujuberouter-Response-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
        HttpResponse<String> answer = send("/post/x", "post");
        assertEquals(200, answer.statusCode());
        assertEquals("done", answer.body());
        assertEquals(1, received.size());
    }

    /** The entry of an engine that another writer overwrites names no engine, also once it is deleted. */
    @Test
    void sendsNothingToAnEngineWhoseRegistrationWasOverwritten() throws Exception {
        startEngine(
                "ledger",
                head -> "HTTP/1.1 200 OK\r\nX-Jujuberouter-Attempt-Id: " + field(head, "x-jujuberouter-attempt-id")
                        + "\r\nX-Jujuberouter-Response-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
        assertEquals(200, send("/post/x", "before").statusCode());
        site.store().put("servers/raw-1", "[".repeat(2_000));
        Thread.sleep(400);
        assertEquals(503, send("/post/x", "overwritten").statusCode());
        site.store().remove("servers/raw-1");
        Thread.sleep(400);
        assertEquals(503, send("/post/x", "deleted").statusCode());
        assertEquals(1, received.size());
    }

    /** An engine ran the requests of the service that an entry with some of the fields named under its id. */
    @Test
    void sendsNothingToAnEngineByAnEntryThatLacksFields() throws Exception {
        startEngine(
                "assistant",
                head -> "HTTP/1.1 200 OK\r\nX-Jujuberouter-Attempt-Id: " + field(head, "x-jujuberouter-attempt-id")
                        + "\r\nX-Jujuberouter-Response-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
        String entry =
                "{\"Service\":\"ledger\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"north\",\"Slots\":8,\"State\":\"ready\"}";
        site.store()
                .put("servers/raw-1", entry.formatted(engines.getFirst().socket.getLocalPort()));
        Thread.sleep(400);
        assertEquals(503, send("/post/x", "misplaced").statusCode());
        assertEquals(List.of(), received);
    }

    private static String failure(String head, int status, String headers) {
        return "HTTP/1.1 " + status + " X\r\nX-Jujuberouter-Attempt-Id: " + field(head, "x-jujuberouter-attempt-id")
                + "\r\nX-Jujuberouter-Response-Signature: signed\r\n" + headers + "Content-Length: 4\r\n\r\noops";
    }

    /** A caller took the status of an engine that had run the request for the promise that it had not, and repeated it. */
    @ParameterizedTest
    @ValueSource(ints = {503, 429, 408})
    void passesOnNoStatusThatPromisesThatARequestHasNotRunIfItMayHave(int status) throws Exception {
        startEngine("ledger", head -> failure(head, status, "Retry-After: 0.1\r\n"));
        startEngine("assistant", head -> failure(head, status, ""));
        for (String path : List.of("/post/x", "/read/x", "/chat/x")) {
            HttpResponse<String> answer = send(path, "failed" + path.replace('/', '-'));
            assertEquals(502, answer.statusCode(), path);
            assertFalse(
                    answer.headers()
                            .firstValue("X-Jujuberouter-Response-Signature")
                            .isPresent(),
                    path);
            assertFalse(answer.headers().firstValue("Retry-After").isPresent(), path);
        }
        assertEquals(1, received.stream().filter(h -> h.contains("failed-post")).count());
    }

    @ParameterizedTest
    @ValueSource(ints = {503, 429, 421})
    void refusesARequestThatNoEngineHasRunByTheirOwnStatement(int status) throws Exception {
        startEngine("ledger", head -> failure(head, status, "X-Jujuberouter-Not-Executed: 1\r\n"));
        HttpResponse<String> answer = send("/post/x", "refused");
        assertEquals(503, answer.statusCode());
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    }

    /** The last attempt was not run, but an earlier one may have been. */
    @Test
    void doesNotPromiseThatARequestHasNotRunAfterAnEarlierAttemptThatMayHave() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        Function<String, String> answers = head -> attempts.getAndIncrement() == 0
                ? failure(head, 503, "")
                : failure(head, 503, "X-Jujuberouter-Not-Executed: 1\r\n");
        startEngine("ledger", answers);
        startEngine("ledger", answers);
        assertEquals(502, send("/read/x", "twice").statusCode());
        assertEquals(2, received.size());
    }

    /** The status of a failure that promises nothing is passed on as the engine gave it. */
    @Test
    void passesOnOtherFailuresOfAnEngine() throws Exception {
        startEngine("ledger", head -> failure(head, 500, ""));
        HttpResponse<String> answer = send("/post/x", "failed");
        assertEquals(500, answer.statusCode());
        assertEquals("oops", answer.body());
        assertTrue(
                answer.headers().firstValue("X-Jujuberouter-Response-Signature").isPresent());
    }

    /** Only the refusal of an earlier request arrives before the connection ends. */
    @Test
    void doesNotPromiseThatARequestHasNotRunAfterTheRefusalOfAnother() throws Exception {
        startEngine(
                "ledger",
                head -> "HTTP/1.1 503 Service Unavailable\r\nX-Jujuberouter-Attempt-Id: earlier\r\n"
                        + "X-Jujuberouter-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        HttpResponse<String> answer = send("/post/x", "post");
        assertEquals(502, answer.statusCode());
        assertEquals(1, received.size());
        assertFalse(answer.headers().firstValue("X-Jujuberouter-Not-Executed").isPresent());
    }
}
