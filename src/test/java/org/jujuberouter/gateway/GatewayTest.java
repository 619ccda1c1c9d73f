package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.EngineStandin.Behaviour;
import org.jujuberouter.platform.standin.KvStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs instances against stand-ins of the platform's store and engines and injects failures. */
class GatewayTest {
    private static final String ALL_EVENTS = events(1, 6);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final List<GatewayDaemon> daemons = new ArrayList<>();
    private StandinSite site;
    private InetSocketAddress callerAddress;
    private URI base;
    private int calls;

    @TempDir
    private Path files;

    @BeforeAll
    static void allowHostHeader() {
        // Read only once, when the first client is created.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(3, 2, 20);
        callerAddress = startInstance("first");
        base = URI.create("http://127.0.0.1:" + callerAddress.getPort());
        await(() -> send("/read/x").statusCode() == 200);
    }

    @AfterEach
    void stopSite() {
        client.close();
        site.close();
    }

    private InetSocketAddress startInstance(String name) throws IOException {
        Path file = files.resolve(name + ".json");
        InetSocketAddress address = site.writeNodeFile(file, name);
        daemons.add(GatewayDaemon.start(NodeFile.read(file), HttpPlatformAdapter.create()));
        return address;
    }

    private HttpResponse<String> send(String path) {
        return send(path, "call-" + calls++);
    }

    private HttpResponse<String> send(String path, String id) {
        HttpRequest request = StandinSite.request(base.resolve(path), id)
                .timeout(Duration.ofSeconds(15))
                .POST(HttpRequest.BodyPublishers.ofString("the body"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (HttpTimeoutException e) {
            throw new AssertionError("no answer to " + id + " in 15 s", e);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String events(int from, int to) {
        StringBuilder all = new StringBuilder();
        for (int i = from; i <= to; i++) {
            all.append("id: ").append(i).append("\ndata: ").append(i).append("\n\n");
        }
        return all.toString();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition was not met within 10 s");
            Thread.sleep(20);
        }
    }

    private long runs(String id) {
        long engines = site.engines().stream()
                .mapToLong(e -> e.runs().stream().filter(id::equals).count())
                .sum();
        return engines
                + site.ledgers().stream()
                        .mapToLong(e -> e.runs().stream().filter(id::equals).count())
                        .sum();
    }

    @Test
    void forwardsACompleteStreamWithItsSignature() {
        HttpResponse<String> answer = send("/chat/stream");
        assertEquals(200, answer.statusCode());
        assertEquals(ALL_EVENTS, answer.body());
        assertTrue(
                answer.headers().firstValue("X-Jujuberouter-Response-Signature").isPresent());
    }

    @Test
    void resumesAtAnotherEngineAfterTheLastCompleteEvent() {
        site.engines().get(0).setBehaviour(Behaviour.BREAK);
        site.engines().get(1).setBehaviour(Behaviour.BREAK);
        for (int i = 0; i < 4; i++) {
            assertEquals(ALL_EVENTS, send("/chat/stream").body());
        }
    }

    /** With two attempts allowed, the broken stream is the first and the one that resumes it the second. */
    @Test
    void resumesAStreamThatBrokeAfterItsHeadWhenTheRouteAllowsTwoAttempts() {
        sendStreamsUntilFirstEngineRan(Behaviour.BREAK);
    }

    @Test
    void resumesAtAnotherEngineWhenAnEngineSendsBytesWithoutEndThatContainNoEvent() {
        sendStreamsUntilFirstEngineRan(Behaviour.FLOOD);
    }

    /** The bytes keep the connection busy, but only a complete event counts as progress. */
    @Test
    void resumesWithinTheCallersTimeoutWhenAnEngineTricklesBytesWithoutAnEvent() {
        sendStreamsUntilFirstEngineRan(Behaviour.TRICKLE);
    }

    private void sendStreamsUntilFirstEngineRan(Behaviour behaviour) {
        EngineStandin first = site.engines().get(0);
        first.setBehaviour(behaviour);
        for (int i = 0; i < 100 && first.runs().isEmpty(); i++) {
            assertEquals(ALL_EVENTS, send("/talk/stream").body());
        }
        assertFalse(first.runs().isEmpty(), "no call reached the engine");
    }

    /** The rest of a plain body from another endpoint would not belong to the bytes that the caller has received. */
    @Test
    void joinsNoTwoBodiesWhenAnEndpointBreaksOffALargeOne() {
        site.ledgers().get(0).setBehaviour(Behaviour.BREAK_LARGE_BODY);
        boolean reached = false;
        for (int i = 0; i < 100 && !reached; i++) {
            try {
                String body = send("/read/x").body();
                assertTrue(body.startsWith("done by "), "a body of " + body.length() + " characters");
            } catch (java.io.UncheckedIOException e) {
                reached = true;
            }
        }
        assertTrue(reached, "no call was broken off");
    }

    @Test
    void closesTheConnectionWhenAStreamCannotBeResumed() {
        site.engines().forEach(e -> e.setBehaviour(Behaviour.BREAK));
        // No attempt completes the stream: the third engine breaks off after three events, the other two refuse.
        site.engines().get(0).setBehaviour(Behaviour.REFUSE);
        site.engines().get(1).setBehaviour(Behaviour.REFUSE);
        assertThrows(java.io.UncheckedIOException.class, () -> send("/chat/stream"));
    }

    @Test
    void runsANonIdempotentCallOnceAndAnswers502WhenItsResponseIsLost() {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.BREAK));
        HttpResponse<String> answer = send("/post/x", "credit-1");
        assertEquals(502, answer.statusCode());
        assertEquals(1, runs("credit-1"));
    }

    @Test
    void refusesWithRetryAfterWhenNoEndpointRanTheCall() {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.REFUSE));
        HttpResponse<String> answer = send("/post/x", "credit-2");
        assertEquals(503, answer.statusCode());
        assertTrue(answer.headers().firstValue("Retry-After").isPresent());
        assertEquals(0, runs("credit-2"));
    }

    @Test
    void retriesAnIdempotentCallAtAnotherEndpoint() {
        site.ledgers().get(0).setBehaviour(Behaviour.BREAK);
        for (int i = 0; i < 6; i++) {
            assertEquals(200, send("/read/x").statusCode());
        }
    }

    @Test
    void refusesARevokedKey() throws Exception {
        site.configure(false);
        await(() -> send("/read/x").statusCode() == 401);
    }

    /** Once no customer had a key, every call was accepted, with revoked and with unknown keys. */
    @Test
    void acceptsNoCallOnceTheLastKeyIsRevoked() throws Exception {
        site.revokeAllKeys();
        await(() -> send("/read/x").statusCode() == 401);
        for (String key : List.of(StandinSite.KEY, "another-key", "never-a-key")) {
            HttpRequest request = StandinSite.request(base.resolve("/post/x"), "with-" + key)
                    .setHeader("Authorization", "Bearer " + key)
                    .POST(HttpRequest.BodyPublishers.ofString("x"))
                    .build();
            assertEquals(
                    401,
                    client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
            assertEquals(0, runs("with-" + key));
        }
    }

    /** A version without any customers needs no keys, and calls with the keys that it takes away were accepted. */
    @Test
    void refusesAWithdrawnKeyAlsoWhenNoCustomersAreDeclaredAnyMore() throws Exception {
        site.removeCustomers();
        await(() -> send("/read/x").statusCode() == 401);
        HttpRequest keyless = HttpRequest.newBuilder(base.resolve("/read/x"))
                .header("Host", StandinSite.HOST)
                .header("X-Jujuberouter-Attempt-Id", "without-a-key")
                .header("X-Jujuberouter-Deadline-Ms", "4000")
                .build();
        assertEquals(
                200,
                client.send(keyless, HttpResponse.BodyHandlers.discarding()).statusCode());
    }

    @Test
    void acceptsNoKeyWhenTheStoreHasBeenSilentForTheRevocationBound() throws Exception {
        site.store().setMode(KvStandin.Mode.SILENT);
        long since = System.nanoTime();
        await(() -> send("/read/x").statusCode() == 503);
        assertTrue(System.nanoTime() - since < Duration.ofMillis(5_000).toNanos());
        site.store().setMode(KvStandin.Mode.SERVING);
        await(() -> send("/read/x").statusCode() == 200);
    }

    @Test
    void rereadsTheStateWhenTheStoreHasCompactedItsHistory() throws Exception {
        site.store().setMode(KvStandin.Mode.UNAVAILABLE);
        Thread.sleep(300);
        site.configure(false);
        site.store().forgetHistory();
        site.store().setMode(KvStandin.Mode.SERVING);
        await(() -> send("/read/x").statusCode() == 401);
    }

    @Test
    void ignoresUnreadableEntriesAndKeepsTheOthers() {
        site.store().put("servers/broken", "{\"Service\":7");
        site.store().put("servers/odd", "{\"Service\":\"ledger\",\"Address\":\"nowhere\",\"Slots\":\"many\"}");
        site.store().put("op/config", "not a configuration");
        assertEquals(200, send("/read/x").statusCode());
    }

    @Test
    void sendsNothingToADrainingEngine() throws Exception {
        EngineStandin leaving = site.engines().get(0);
        site.drain(leaving);
        Thread.sleep(300);
        int before = leaving.runs().size();
        for (int i = 0; i < 8; i++) {
            assertEquals(200, send("/chat/stream").statusCode());
        }
        assertEquals(before, leaving.runs().size());
    }

    @Test
    void cancelsTheCallAtTheEngineWhenTheCallerDisconnects() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        try (Socket socket = new Socket(callerAddress.getAddress(), callerAddress.getPort())) {
            write(socket, "GET /read/x HTTP/1.1\r\n" + callHeaders("left-1") + "\r\n");
            await(() -> runs("left-1") == 1);
        }
        // The stand-in does not report the cancellation; it shows in the free slot that serves the next call.
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.ANSWER));
        assertEquals(200, send("/read/x").statusCode());
        assertEquals(1, runs("left-1"));
    }

    @Test
    void answers504AtTheDeadlineOfAHangingCall() {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        HttpRequest request = StandinSite.request(base.resolve("/post/x"), "late-1")
                .setHeader("X-Jujuberouter-Deadline-Ms", "600")
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        long since = System.nanoTime();
        int status = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .join()
                .statusCode();
        assertEquals(504, status);
        assertTrue(System.nanoTime() - since < Duration.ofMillis(1_000).toNanos());
    }

    @Test
    void completesOpenStreamsDuringAGracefulStop() throws Exception {
        CompletableFuture<HttpResponse<String>> open = CompletableFuture.supplyAsync(() -> send("/chat/stream"));
        await(() -> site.engines().stream().anyMatch(e -> !e.runs().isEmpty()));
        daemons.getFirst().close();
        assertEquals(ALL_EVENTS, open.join().body());
        assertThrows(java.io.UncheckedIOException.class, () -> send("/read/x"));
    }

    /** The store is slow to end the registration; calls that arrive meanwhile must not end with the event loop. */
    @Test
    void answersCallsThatArriveWhileItsRegistrationEnds() throws Exception {
        Thread stop = Thread.ofVirtual().start(() -> daemons.getFirst().close());
        Thread.sleep(2_400);
        site.store().setMode(KvStandin.Mode.SILENT);
        for (int i = 0; stop.isAlive(); i++) {
            String id = "late-" + i;
            try {
                HttpResponse<String> answer = CompletableFuture.supplyAsync(() -> send("/chat/stream", id))
                        .get(15, TimeUnit.SECONDS);
                if (answer.statusCode() == 503) {
                    assertEquals(0, runs(id), "runs of a call that was refused");
                } else {
                    assertEquals(ALL_EVENTS, answer.body());
                }
            } catch (ExecutionException e) {
                assertEquals(0, runs(id), "runs of a call that ended without an answer");
            }
            Thread.sleep(60);
        }
    }

    @Test
    void servesKeepAliveConnectionsAndRejectsRequestsThatAreTooLargeOrSlow() throws Exception {
        try (Socket socket = new Socket(callerAddress.getAddress(), callerAddress.getPort())) {
            for (int i = 0; i < 3; i++) {
                write(socket, "GET /read/x HTTP/1.1\r\n" + callHeaders("kept-" + i) + "\r\n");
                assertEquals("HTTP/1.1 200 OK", readLine(socket));
                readAnswer(socket);
            }
            write(socket, "GET /read/x HTTP/1.1\r\nX-Long: " + "x".repeat(20_000) + "\r\n\r\n");
            assertTrue(readLine(socket).startsWith("HTTP/1.1 431"));
        }
        try (Socket socket = new Socket(callerAddress.getAddress(), callerAddress.getPort())) {
            write(socket, "POST /read/x HTTP/1.1\r\n" + callHeaders("large") + "Content-Length: 9000000\r\n\r\n");
            assertTrue(readLine(socket).startsWith("HTTP/1.1 413"));
        }
        try (Socket socket = new Socket(callerAddress.getAddress(), callerAddress.getPort())) {
            write(socket, "POST /read/x HTTP/1.1\r\n" + callHeaders("slow") + "Content-Length: 10\r\n\r\n1");
            assertTrue(readLine(socket).startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void countsTheWorkOfAPeer() throws Exception {
        URI other = startSecondInstance();
        // There are two ledgers; through either instance, a call must go to the one without the hanging call.
        CompletableFuture<HttpResponse<String>> hanging = hangAtOneLedger();
        EngineStandin busy = ledgerThatRan("hanging");
        assertEquals(200, statusAt(other, "next"));
        assertFalse(busy.runs().contains("next"));
        hanging.join();
    }

    /** An instance that cannot reach the store loses its lease but continues to serve. */
    @Test
    void countsTheWorkOfAPeerWhoseRegistrationHasExpired() throws Exception {
        URI other = startSecondInstance();
        assertEquals(200, statusAt(other, "connected"));
        Thread.sleep(200);
        site.store().remove("instances/first");
        Thread.sleep(300);
        CompletableFuture<HttpResponse<String>> hanging = hangAtOneLedger();
        EngineStandin busy = ledgerThatRan("hanging");
        for (int i = 0; i < 4; i++) {
            assertEquals(200, statusAt(other, "next-" + i));
            assertFalse(busy.runs().contains("next-" + i));
        }
        hanging.join();
    }

    /** The calls that a stopping instance still serves occupy their endpoints until they end. */
    @Test
    void countsTheWorkOfAPeerThatIsStopping() throws Exception {
        URI other = startSecondInstance();
        CompletableFuture<HttpResponse<String>> hanging = hangAtOneLedger();
        EngineStandin busy = ledgerThatRan("hanging");
        CompletableFuture<Void> stop =
                CompletableFuture.runAsync(() -> daemons.getFirst().close());
        Thread.sleep(500);
        for (int i = 0; i < 4; i++) {
            assertEquals(200, statusAt(other, "next-" + i));
            assertFalse(busy.runs().contains("next-" + i));
        }
        stop.join();
        hanging.join();
    }

    /** The registration of a stopping instance must not expire before its last call has ended. */
    @Test
    void staysRegisteredUntilItsLastCallHasEnded() throws Exception {
        CompletableFuture<HttpResponse<String>> hanging = hangAtOneLedger();
        CompletableFuture<Void> stop =
                CompletableFuture.runAsync(() -> daemons.getFirst().close());
        Thread.sleep(200);
        long before = site.store().renewals();
        await(hanging::isDone);
        assertTrue(site.store().renewals() > before, "no renewal in the 3 s of the last call");
        stop.join();
        assertEquals(List.of(), site.store().keys("instances/"));
    }

    /** Guards against outcomes that no metric reports. */
    @Test
    void servesMetricsOfCallOutcomes() throws Exception {
        Path file = files.resolve("measured.json");
        InetSocketAddress address = site.writeNodeFile(file, "measured");
        int port = StandinSite.freePort();
        daemons.add(GatewayDaemon.start(NodeFile.read(file).withMetricsPort(port), HttpPlatformAdapter.create()));
        URI measured = URI.create("http://127.0.0.1:" + address.getPort());
        await(() -> statusAt(measured, "warm-" + calls++) == 200);
        HttpResponse<String> metrics = client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
        assertEquals(200, metrics.statusCode());
        for (String name : List.of(
                "requests_total{service=\"ledger\",customer=\"first\",outcome=\"completed\",status=\"200\"} 1",
                "first_token_seconds_bucket{service=\"ledger\"",
                "attempts_total{service=\"ledger\",result=\"status_200\"} 1",
                "jujuberouter_endpoints_known 5",
                "jujuberouter_store_contact_age_ms")) {
            assertTrue(metrics.body().contains(name), name + " in " + metrics.body());
        }
    }

    /** A connection to an engine can fail without a reset, before the first event or in the middle of a stream. */
    @Test
    void resumesAtAnotherEngineWithinTheCallersTimeoutWhenAnEngineIsSilent() throws Exception {
        for (Behaviour silence : List.of(Behaviour.HANG, Behaviour.STALL)) {
            String id = "to-" + silence;
            site.engines().forEach(e -> e.setBehaviour(silence));
            CompletableFuture<HttpResponse<String>> answer =
                    CompletableFuture.supplyAsync(() -> send("/chat/stream", id));
            await(() -> runs(id) == 1);
            Thread.sleep(500);
            // The engine that runs the call stays silent; from now on, all engines answer new calls.
            site.engines().forEach(e -> e.setBehaviour(Behaviour.ANSWER));
            assertEquals(200, answer.join().statusCode());
            assertEquals(ALL_EVENTS, answer.join().body());
            assertEquals(2, runs(id), "runs: one at the silent engine, one elsewhere");
        }
    }

    /** A call that is not retryable is not sent elsewhere, and its status does not claim that it did not run. */
    @Test
    void keepsANonIdempotentCallAtASilentEndpointUntilItsDeadline() {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        assertEquals(504, send("/post/x", "once").statusCode());
        assertEquals(1, runs("once"));
    }

    /** Starts a second instance and waits until it serves calls and the two instances are connected to each other. */
    private URI startSecondInstance() throws Exception {
        AtomicInteger connected = new AtomicInteger();
        Handler counter = new Handler() {
            @Override
            public void publish(LogRecord logRecord) {
                if (logRecord.getMessage().endsWith("peer connected")) {
                    connected.incrementAndGet();
                }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger root = Logger.getLogger("");
        root.addHandler(counter);
        try {
            URI second =
                    URI.create("http://127.0.0.1:" + startInstance("second").getPort());
            await(() -> statusAt(second, "warm-" + calls++) == 200);
            await(() -> connected.get() >= 2);
            return second;
        } finally {
            root.removeHandler(counter);
        }
    }

    /** Sends a call that hangs at one ledger; all later calls are answered. */
    private CompletableFuture<HttpResponse<String>> hangAtOneLedger() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.HANG));
        CompletableFuture<HttpResponse<String>> hanging =
                CompletableFuture.supplyAsync(() -> send("/read/x", "hanging"));
        await(() -> runs("hanging") == 1);
        site.ledgers().forEach(e -> e.setBehaviour(Behaviour.ANSWER));
        return hanging;
    }

    private EngineStandin ledgerThatRan(String id) {
        return site.ledgers().stream()
                .filter(e -> e.runs().contains(id))
                .findFirst()
                .orElseThrow();
    }

    private int statusAt(URI instance, String id) {
        HttpRequest request = StandinSite.request(instance.resolve("/read/x"), id)
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .join()
                .statusCode();
    }

    private static String callHeaders(String id) {
        return "Host: " + StandinSite.HOST + "\r\nX-Jujuberouter-Attempt-Id: " + id
                + "\r\nX-Jujuberouter-Deadline-Ms: 4000\r\nAuthorization: Bearer " + StandinSite.KEY + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static String readLine(Socket socket) throws IOException {
        socket.setSoTimeout(5_000);
        StringBuilder line = new StringBuilder();
        int b;
        while ((b = socket.getInputStream().read()) != '\n' && b >= 0) {
            if (b != '\r') {
                line.append((char) b);
            }
        }
        return line.toString();
    }

    private static void readAnswer(Socket socket) throws IOException {
        int length = 0;
        for (String line = readLine(socket); !line.isEmpty(); line = readLine(socket)) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        InputStream in = socket.getInputStream();
        assertEquals(length, in.readNBytes(length).length);
    }
}
