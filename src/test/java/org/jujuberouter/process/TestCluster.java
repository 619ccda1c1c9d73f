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
 * A deployment of separate processes on loopback: store, member list, one ledger, engines and instances.
 *
 * <p>Engine {@code i} and instance {@code i} are in failure domain {@code i % 2}; both domains are in one region.
 */
final class TestCluster implements AutoCloseable {
    static final List<String> DOMAINS = List.of("khon-kaen", "udon");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final long DEADLINE_MS = 60_000;

    final List<ChildProcess> engines = new ArrayList<>();
    final List<ChildProcess> instances = new ArrayList<>();
    final ChildProcess store;
    final ChildProcess ledger;
    private final ChildProcess memberList;
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private TestCluster(int ledgerDelayMs) throws Exception {
        store = ChildProcess.start("standin", "store", "--port", "0", "--control-port", "0");
        memberList = ChildProcess.start("standin", "list", "--port", "0", "--lag-ms", "200");
        ledger = ChildProcess.start("standin", "plain", "--delay-ms", Integer.toString(ledgerDelayMs));
    }

    /** Starts a cluster and waits until every endpoint has an owner and each instance has answered a completion. */
    static TestCluster start(int engineCount, int instanceCount, int ledgerDelayMs, String... engineFlags)
            throws Exception {
        TestCluster cluster = new TestCluster(ledgerDelayMs);
        try {
            cluster.startAll(engineCount, instanceCount, engineFlags);
            return cluster;
        } catch (Exception | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    private void startAll(int engineCount, int instanceCount, String... engineFlags) throws Exception {
        configure();
        register("ledger-0", "PLAIN", "ledger", ledger.address(), DOMAINS.getFirst());
        for (int i = 0; i < engineCount; i++) {
            List<String> command = new ArrayList<>(List.of("standin", "engine"));
            command.addAll(List.of(engineFlags));
            engines.add(ChildProcess.start(command.toArray(String[]::new)));
            register("engine-" + i, "ENGINE", "assistant", engines.get(i).address(), DOMAINS.get(i % 2));
        }
        for (int i = 0; i < instanceCount; i++) {
            instances.add(ChildProcess.start(
                    "entry",
                    "--instance=entry-" + i,
                    "--domain=" + DOMAINS.get(i % 2),
                    "--listen=127.0.0.1:0",
                    "--peer-listen=127.0.0.1:0",
                    "--log-level=" + System.getProperty("jujuberouter.log", "warning"),
                    "--store=http://" + store.address(),
                    "--list=http://" + memberList.address()));
            register("entry-" + i, "INSTANCE", "", instances.get(i).peerAddress(), DOMAINS.get(i % 2));
        }
        await(START_TIMEOUT, "every endpoint has an owner", () -> ownedEndpoints() == engineCount + 1);
        for (int i = 0; i < instanceCount; i++) {
            stream(i, "marker-start" + i, 2).join().assertComplete("marker-start" + i, 2);
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
                // High enough that a burst is not rejected by one instance's share of the default limit.
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
        String member =
                "{\"name\":\"%s\",\"role\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"LIVE\"}"
                        .formatted(name, role, service, address, domain);
        put(memberList.address(), "/v1/members/" + name, member);
    }

    /** Returns the number of endpoints owned by the instances that are running. */
    long ownedEndpoints() throws Exception {
        long total = 0;
        for (int i = 0; i < instances.size(); i++) {
            total += instances.get(i).isAlive() ? metric(i, "owned_endpoints") : 0;
        }
        return total;
    }

    /** Returns the value of an instance's metric, or 0 if the instance does not export it. */
    long metric(int instance, String name) throws Exception {
        return get(instances.get(instance).address(), "/metrics")
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

    /** Injects a fault into the store, given as a query such as {@code kind=unavailable}. */
    void storeFault(String query) throws Exception {
        put(store.controlAddress(), "/fault?" + query, "");
    }

    /** Injects a fault of the given kind, such as {@code crash}, into an engine. */
    void engineFault(int engine, String kind) throws Exception {
        put(engines.get(engine).address(), "/fault?kind=" + kind, "");
    }

    /** Returns an engine's load report. */
    JsonNode loadReport(int engine) throws Exception {
        return Json.MAPPER.readTree(get(engines.get(engine).address(), "/load"));
    }

    /** Returns the requests listed by an engine, including completed ones. */
    List<JsonNode> requests(int engine) throws Exception {
        List<JsonNode> rows = new ArrayList<>();
        Json.MAPPER
                .readTree(get(engines.get(engine).address(), "/requests"))
                .path("requests")
                .forEach(rows::add);
        return rows;
    }

    /** Returns the ids of the requests that are waiting or running at an engine. */
    List<String> activeRequestIds(int engine) throws Exception {
        return requests(engine).stream()
                .filter(r -> !r.path("state").asText().equals("completed"))
                .map(r -> r.path("id").asText())
                .toList();
    }

    /** Returns how many times the ledger has executed calls with the idempotency key. */
    int executionCount(String key) throws Exception {
        return Json.MAPPER
                .readTree(get(ledger.address(), "/executions"))
                .path(key)
                .asInt();
    }

    /** Streams a completion; if the prompt contains a marker, the engine repeats it at the end of the answer. */
    CompletableFuture<Answer> stream(int instance, String prompt, int tokens) {
        String body = "{\"model\":\"jujube-1\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":true}"
                .formatted(prompt, tokens);
        return post(instance, "/v1/completions", body, null);
    }

    /** Streams completions through the instances in turn, the i-th with the marker {@code marker-<name><i>}. */
    List<CompletableFuture<Answer>> streams(String name, int count, int tokens, int... instanceIndexes) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(stream(instanceIndexes[i % instanceIndexes.length], "marker-" + name + i, tokens));
        }
        return answers;
    }

    /** Checks that the answers of {@link #streams} are complete and returns the longest gap within one of them. */
    static long assertAllComplete(String name, List<CompletableFuture<Answer>> answers, int tokens) throws Exception {
        long longestGapMs = 0;
        for (int i = 0; i < answers.size(); i++) {
            Answer answer = answers.get(i).join();
            answer.assertComplete("marker-" + name + i, tokens);
            longestGapMs = Math.max(longestGapMs, answer.longestGapMs());
        }
        return longestGapMs;
    }

    /** Posts a credit to the ledger with an idempotency key. */
    CompletableFuture<Answer> postCredit(int instance, String key) {
        return post(instance, "/services/ledger/credits", "{\"trays\":3}", key);
    }

    private CompletableFuture<Answer> post(int instance, String path, String body, String key) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + instances.get(instance).address() + path))
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
        long longestGapNanos = 0;
        long lastLineNanos = System.nanoTime();
        try (Stream<String> lines = response.body()) {
            for (Iterator<String> i = lines.iterator(); i.hasNext(); ) {
                body.append(i.next()).append('\n');
                longestGapNanos = Math.max(longestGapNanos, System.nanoTime() - lastLineNanos);
                lastLineNanos = System.nanoTime();
            }
        }
        return new Answer(
                response.statusCode(),
                response.headers().firstValue("Jujuberouter-Outcome").orElse(""),
                body.toString(),
                response.headers().firstValue("Idempotency-Replayed").isPresent(),
                (lastLineNanos - start) / 1_000_000L,
                longestGapNanos / 1_000_000L);
    }

    /** Returns the answer, or empty if the connection was closed before it was complete. */
    static java.util.Optional<Answer> answerIfReceived(CompletableFuture<Answer> answer) {
        try {
            return java.util.Optional.of(answer.join());
        } catch (CompletionException e) {
            return java.util.Optional.empty();
        }
    }

    /** Polls a condition until it holds and returns the time this took in milliseconds. */
    static long await(Duration timeout, String description, Callable<Boolean> condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > timeout.toNanos()) {
                throw new AssertionError("condition not met within " + timeout.toMillis() + " ms: " + description);
            }
            Thread.sleep(50);
        }
        return (System.nanoTime() - start) / 1_000_000L;
    }

    @Override
    public void close() {
        List<ChildProcess> all = new ArrayList<>(instances);
        all.addAll(engines);
        all.addAll(List.of(store, memberList, ledger));
        for (ChildProcess process : all) {
            process.kill();
        }
        http.close();
    }
}
