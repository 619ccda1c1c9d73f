package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.Stream;
import org.jujuberouter.misc.Json;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsResult;
import org.jujuberouter.store.HttpPlatformStore;

/**
 * A small site of separate processes on loopback: store, list, a ledger, engines and instances.
 *
 * <p>Engine and instance {@code i} are in the failure domain {@code i % 2} of one region.
 */
final class Site implements AutoCloseable {
    static final List<String> DOMAINS = List.of("khon-kaen", "udon");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final long DEADLINE_MS = 60_000;

    final List<ChildProcess> engines = new ArrayList<>();
    final List<ChildProcess> entries = new ArrayList<>();
    final ChildProcess store;
    final ChildProcess ledger;
    private final ChildProcess list;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private Site(int ledgerDelayMs) throws Exception {
        store = ChildProcess.start("standin", "store", "--port", "0", "--control-port", "0");
        list = ChildProcess.start("standin", "list", "--port", "0", "--lag-ms", "200");
        ledger = ChildProcess.start("standin", "plain", "--delay-ms", Integer.toString(ledgerDelayMs));
    }

    /** Starts a site and waits until its endpoints are owned and its first answer is whole. */
    static Site start(int engineCount, int entryCount, int ledgerDelayMs, String... engineFlags) throws Exception {
        Site site = new Site(ledgerDelayMs);
        try {
            site.startAll(engineCount, entryCount, engineFlags);
            return site;
        } catch (Exception | AssertionError e) {
            site.close();
            throw e;
        }
    }

    private void startAll(int engineCount, int entryCount, String... engineFlags) throws Exception {
        configure();
        register("ledger-0", "PLAIN", "ledger", ledger.address(), DOMAINS.getFirst());
        for (int i = 0; i < engineCount; i++) {
            List<String> command = new ArrayList<>(List.of("standin", "engine"));
            command.addAll(List.of(engineFlags));
            engines.add(ChildProcess.start(command.toArray(String[]::new)));
            register("engine-" + i, "ENGINE", "assistant", engines.get(i).address(), DOMAINS.get(i % 2));
        }
        for (int i = 0; i < entryCount; i++) {
            entries.add(ChildProcess.start(
                    "entry",
                    "--instance=entry-" + i,
                    "--domain=" + DOMAINS.get(i % 2),
                    "--listen=127.0.0.1:0",
                    "--peer-listen=127.0.0.1:0",
                    "--log-level=" + System.getProperty("jujuberouter.log", "warning"),
                    "--store=http://" + store.address(),
                    "--list=http://" + list.address()));
            register("entry-" + i, "INSTANCE", "", entries.get(i).peerAddress(), DOMAINS.get(i % 2));
        }
        await(START_TIMEOUT, "every endpoint has an owner", () -> owned() == engineCount + 1);
        for (int i = 0; i < entryCount; i++) {
            stream(i, "marker-start" + i, 2).join().assertWhole("marker-start" + i, 2);
        }
    }

    private void configure() throws Exception {
        JsonNodeFactory json = JsonNodeFactory.instance;
        byte[] hash = MessageDigest.getInstance("SHA-256").digest("depot-1".getBytes(StandardCharsets.UTF_8));
        SettingsChange change = SettingsChange.of("c1", "test", 0, "set up", 0)
                .set("service/assistant/kind", json.textNode("inference"))
                .set(
                        "service/assistant/model/jujube-1/versions",
                        json.arrayNode().add("1"))
                .set("service/ledger/kind", json.textNode("plain"))
                // A burst may not meet an instance's small share of the default limit.
                .set("customer/depot/limits.requests-per-second", json.numberNode(10_000))
                .set("customer/depot/key-hash", json.textNode(HexFormat.of().formatHex(hash)));
        for (String domain : DOMAINS) {
            change = change.set("domain/" + domain + "/region", json.textNode("isan"));
        }
        HttpPlatformStore client = HttpPlatformStore.at(URI.create("http://" + store.address()));
        assertInstanceOf(
                SettingsResult.Accepted.class,
                SettingsEditor.of(client, Ticker.system(), Duration.ofSeconds(5))
                        .apply(change));
    }

    private void register(String name, String role, String service, String address, String domain) throws Exception {
        String row =
                "{\"name\":\"%s\",\"role\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"LIVE\"}"
                        .formatted(name, role, service, address, domain);
        put(list.address(), "/v1/members/" + name, row);
    }

    /** Returns how many endpoints the living instances own together. */
    long owned() throws Exception {
        long sum = 0;
        for (int i = 0; i < entries.size(); i++) {
            sum += entries.get(i).isAlive() ? metric(i, "owned_endpoints") : 0;
        }
        return sum;
    }

    /** Returns a metric of an instance. */
    long metric(int entry, String name) throws Exception {
        return get(entries.get(entry).address(), "/metrics")
                .lines()
                .filter(l -> l.startsWith("jujuberouter_" + name + " "))
                .mapToLong(l -> (long) Double.parseDouble(l.substring(l.indexOf(' ') + 1)))
                .sum();
    }

    String get(String address, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(5))
                .build();
        return http.send(request, BodyHandlers.ofString()).body();
    }

    private void put(String address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .PUT(BodyPublishers.ofString(body))
                .build();
        assertEquals(200, http.send(request, BodyHandlers.ofString()).statusCode());
    }

    /** Sets a fault of the store, such as {@code kind=unavailable}. */
    void storeFault(String query) throws Exception {
        put(store.controlAddress(), "/fault?" + query, "");
    }

    /** Sets a fault of an engine, such as {@code crash}. */
    void engineFault(int engine, String kind) throws Exception {
        put(engines.get(engine).address(), "/fault?kind=" + kind, "");
    }

    /** Returns an engine's load report. */
    JsonNode load(int engine) throws Exception {
        return Json.MAPPER.readTree(get(engines.get(engine).address(), "/load"));
    }

    /** Returns the requests that an engine knows, with those that are complete and read. */
    List<JsonNode> requests(int engine) throws Exception {
        List<JsonNode> rows = new ArrayList<>();
        Json.MAPPER
                .readTree(get(engines.get(engine).address(), "/requests"))
                .path("requests")
                .forEach(rows::add);
        return rows;
    }

    /** Returns the ids of the requests that wait or run at an engine. */
    List<String> running(int engine) throws Exception {
        return requests(engine).stream()
                .filter(r -> !r.path("state").asText().equals("completed"))
                .map(r -> r.path("id").asText())
                .toList();
    }

    /** Returns how often calls with the key were executed by the ledger. */
    int executions(String key) throws Exception {
        return Json.MAPPER
                .readTree(get(ledger.address(), "/executions"))
                .path(key)
                .asInt();
    }

    /** Streams a completion; the prompt contains a marker, which the answer repeats. */
    CompletableFuture<Answer> stream(int entry, String prompt, int tokens) {
        String body = "{\"model\":\"jujube-1\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"
                .formatted(prompt, tokens);
        return post(entry, "/v1/completions", body, null);
    }

    /** Streams several completions, the i-th with the marker {@code marker-<name><i>}, through all instances in turn. */
    List<CompletableFuture<Answer>> streams(String name, int count, int tokens, int... through) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(stream(through[i % through.length], "marker-" + name + i, tokens));
        }
        return answers;
    }

    /** Checks that the answers of {@link #streams} are whole and returns the longest gap in one of them. */
    static long assertAllWhole(String name, List<CompletableFuture<Answer>> answers, int tokens) throws Exception {
        long gap = 0;
        for (int i = 0; i < answers.size(); i++) {
            Answer answer = answers.get(i).join();
            answer.assertWhole("marker-" + name + i, tokens);
            gap = Math.max(gap, answer.longestGapMillis());
        }
        return gap;
    }

    /** Posts a credit with an idempotency key. */
    CompletableFuture<Answer> credit(int entry, String key) {
        return post(entry, "/services/ledger/credits", "{\"trays\":3}", key);
    }

    private CompletableFuture<Answer> post(int entry, String path, String body, String key) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + entries.get(entry).address() + path))
                .header("Authorization", "Bearer depot-1")
                .header("Jujuberouter-Deadline-Ms", Long.toString(DEADLINE_MS))
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Idempotency-Key", key);
        }
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        Thread.ofVirtual().start(() -> {
            try {
                answer.complete(read(request.build()));
            } catch (Exception e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    private Answer read(HttpRequest request) throws Exception {
        long start = System.nanoTime();
        HttpResponse<Stream<String>> response = http.send(request, BodyHandlers.ofLines());
        StringBuilder body = new StringBuilder();
        long gap = 0;
        long last = System.nanoTime();
        try (Stream<String> lines = response.body()) {
            for (Iterator<String> i = lines.iterator(); i.hasNext(); ) {
                body.append(i.next()).append('\n');
                gap = Math.max(gap, System.nanoTime() - last);
                last = System.nanoTime();
            }
        }
        return new Answer(
                response.statusCode(),
                response.headers().firstValue("Jujuberouter-Outcome").orElse(""),
                body.toString(),
                response.headers().firstValue("Idempotency-Replayed").isPresent(),
                (last - start) / 1_000_000L,
                gap / 1_000_000L);
    }

    /** Returns the answer, or empty when the connection broke. */
    static java.util.Optional<Answer> orBroken(CompletableFuture<Answer> answer) {
        try {
            return java.util.Optional.of(answer.join());
        } catch (CompletionException e) {
            return java.util.Optional.empty();
        }
    }

    /** Waits for a condition and returns how long it took in milliseconds. */
    static long await(Duration longest, String what, Callable<Boolean> condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > longest.toNanos()) {
                throw new AssertionError("not within " + longest.toMillis() + " ms: " + what);
            }
            Thread.sleep(50);
        }
        return (System.nanoTime() - start) / 1_000_000L;
    }

    @Override
    public void close() {
        List<ChildProcess> all = new ArrayList<>(entries);
        all.addAll(engines);
        all.addAll(List.of(store, list, ledger));
        for (ChildProcess process : all) {
            process.kill();
        }
        http.close();
    }
}
