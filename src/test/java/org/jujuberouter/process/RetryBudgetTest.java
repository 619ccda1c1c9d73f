package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against repeats at the endpoints of a service that exceed the budget of all instances while these restart. */
@Tag("process")
class RetryBudgetTest {
    private static final int INSTANCES = 3;
    private static final int CALLERS = 6;
    private static final long CALL_INTERVAL_MS = 300;
    private static final double RATIO = 0.2;
    private static final int SLACK = 100;
    private static final int SAMPLE_MS = 100;

    /** The window of the budget in samples. */
    private static final int WINDOW_SAMPLES = 100;

    private static final int KILLS = 9;
    private static final long KILL_GAP_MS = 1_800;

    private final AtomicInteger requests = new AtomicInteger();
    private final List<Integer> requestSamples = new ArrayList<>();
    private final List<Integer> repeatSamples = new ArrayList<>();
    private StandinSite site;
    private ServeProcesses instances;
    private volatile boolean running = true;

    @TempDir
    private Path directory;

    @BeforeEach
    void startInstances() throws Exception {
        site = StandinSite.start(1, 3, 20);
        instances = ServeProcesses.start(
                site,
                directory,
                INSTANCES,
                node -> node.withObject("Bounds")
                        .put("BudgetSlack", SLACK)
                        .put("BudgetWindowS", WINDOW_SAMPLES * SAMPLE_MS / 1_000));
        Thread.sleep(3_000);
        for (int i = 0; i < INSTANCES; i++) {
            // The platform states at each further start that the system is not starting for the first time.
            instances.changeSettings(i, node -> node.put("Bootstrap", false));
        }
    }

    @AfterEach
    void stopInstances() {
        instances.close();
    }

    /** Each start of an instance gave it its full part of the slack again. */
    @Test
    void keepsRepeatsWithinTheBudgetWhileInstancesAreKilledInTurn() throws Exception {
        site.ledgers().forEach(e -> e.setBehaviour(EngineStandin.Behaviour.BREAK));
        List<Thread> threads = new ArrayList<>();
        threads.add(Thread.ofVirtual().start(this::sample));
        for (int i = 0; i < CALLERS; i++) {
            int instance = i % INSTANCES;
            threads.add(Thread.ofVirtual().start(() -> call(instances.base(instance))));
        }
        for (int i = 0; i < KILLS; i++) {
            Thread.sleep(KILL_GAP_MS);
            instances.restart(i % INSTANCES, "KILL");
        }
        running = false;
        for (Thread t : threads) {
            t.join();
        }
        assertTrue(repeatSamples.getLast() > 20, repeatSamples.getLast() + " repeats of " + requests + " requests");
        for (int end = WINDOW_SAMPLES; end < requestSamples.size(); end++) {
            int repeats = repeatSamples.get(end) - repeatSamples.get(end - WINDOW_SAMPLES);
            int sent = requestSamples.get(end) - requestSamples.get(end - WINDOW_SAMPLES);
            assertTrue(
                    repeats <= RATIO * sent + SLACK,
                    repeats + " repeats of " + sent + " requests in the window that ends with sample " + end);
        }
    }

    private void sample() {
        try {
            while (running) {
                List<String> arrivals =
                        site.ledgers().stream().flatMap(e -> e.runs().stream()).toList();
                requestSamples.add(requests.get());
                repeatSamples.add(
                        arrivals.size() - (int) arrivals.stream().distinct().count());
                Thread.sleep(SAMPLE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(URI base) {
        try (HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
            while (running) {
                HttpRequest request = StandinSite.request(
                                base.resolve("/read/x"), "budget-" + requests.getAndIncrement())
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build();
                try {
                    client.send(request, HttpResponse.BodyHandlers.discarding());
                } catch (IOException e) {
                    // The instance is being restarted; the request counts as sent.
                    continue;
                } finally {
                    Thread.sleep(CALL_INTERVAL_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
