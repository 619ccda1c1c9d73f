package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against requests that reach an endpoint and end without an answer because their instance stops.
 *
 * <p>All instances are stopped and started in turn while callers go on using connections that are open and open new ones
 * to instances that are stopping, as they do when most instances of a failure domain stop.
 */
@Tag("process")
class RollingStopTest {
    private static final int INSTANCES = 3;
    private static final int CALLERS = 24;
    private static final int ROUNDS = 3;
    private static final long STOP_GAP_MS = 1_000;
    private static final long ROUND_GAP_MS = 8_000;

    /** Streams of 6 events last 2.4 s, about as long as usual ones. */
    private static final long EVENT_GAP_MS = 400;

    private static final List<String> PATHS =
            List.of("/chat/stream", "/chat/stream", "/talk/stream", "/post/x", "/read/x");

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();
    private final Queue<String> unanswered = new ConcurrentLinkedQueue<>();
    private StandinSite site;
    private ServeProcesses instances;
    private volatile boolean running = true;

    @TempDir
    private Path directory;

    @BeforeEach
    void startInstances() throws Exception {
        site = StandinSite.start(6, 3, EVENT_GAP_MS);
        instances = ServeProcesses.start(site, directory, INSTANCES, _ -> {});
        Thread.sleep(3_000);
    }

    @AfterEach
    void stopInstances() {
        instances.close();
    }

    @Test
    void answersEveryRequestThatReachedAnEndpointWhileInstancesStopInTurn() throws Exception {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            SplittableRandom random = new SplittableRandom(i);
            callers.add(Thread.ofVirtual().start(() -> call(random)));
        }
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> restarts = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                int instance = i;
                restarts.add(Thread.ofVirtual().start(() -> restart(instance)));
                Thread.sleep(STOP_GAP_MS);
            }
            for (Thread t : restarts) {
                t.join();
            }
            Thread.sleep(Math.max(0, ROUND_GAP_MS - INSTANCES * STOP_GAP_MS) / 4);
        }
        running = false;
        for (Thread t : callers) {
            t.join();
        }
        Set<String> reached = ConcurrentHashMap.newKeySet();
        for (List<EngineStandin> endpoints : List.of(site.engines(), site.ledgers())) {
            endpoints.forEach(e -> reached.addAll(e.runs()));
        }
        assertTrue(answers.get() > 100, answers + " answers to " + requests + " requests");
        assertEquals(
                List.of(),
                unanswered.stream()
                        .filter(u -> reached.contains(u.split(" ")[0]))
                        .toList(),
                "requests without an answer that had reached an endpoint, of " + requests);
    }

    private void restart(int i) {
        try {
            instances.restart(i, "TERM");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends requests on a connection that is kept as long as possible, or on a new one each time. */
    private void call(SplittableRandom random) {
        boolean keepsConnections = random.nextBoolean();
        HttpClient client = client();
        try {
            while (running) {
                if (!keepsConnections) {
                    client.close();
                    client = client();
                }
                send(
                        client,
                        instances.base(random.nextInt(INSTANCES)),
                        PATHS.get(random.nextInt(PATHS.size())),
                        random);
                Thread.sleep(random.nextInt(5, 80));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            client.close();
        }
    }

    private static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
    }

    private void send(HttpClient client, URI base, String path, SplittableRandom random) throws InterruptedException {
        String id = "rolling-" + requests.getAndIncrement();
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString("the body of " + id);
        // A body without a length is sent in chunks.
        HttpRequest request = StandinSite.request(base.resolve(path), id)
                .setHeader("X-Jujuberouter-Deadline-Ms", "10000")
                .timeout(Duration.ofSeconds(12))
                .POST(random.nextBoolean() ? body : HttpRequest.BodyPublishers.fromPublisher(body))
                .build();
        long sentAt = System.nanoTime();
        try {
            client.send(request, HttpResponse.BodyHandlers.ofString());
            answers.incrementAndGet();
        } catch (IOException e) {
            unanswered.add(id + " " + path + " after " + (System.nanoTime() - sentAt) / 1_000_000 + " ms: " + e);
        }
    }
}
