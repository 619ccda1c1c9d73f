package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Checks the draining of a failure domain and the quarantine of requests that crash engines, both under load. */
@Tag("process")
class OperationFailuresTest {
    /** Guards against requests that are still started in a failure domain after operators have drained it. */
    @Test
    void startsNothingInADrainedDomainAndFinishesItsRunningRequests() throws Exception {
        try (TestCluster cluster = TestCluster.start(2, 2, 5)) {
            List<CompletableFuture<Answer>> inFlight = cluster.streams("drain", 8, 300, 0, 1);
            TestCluster.await(
                    Duration.ofSeconds(10),
                    "an engine of the domain runs requests",
                    () -> cluster.activeRequestIds(1).size() >= 2);
            List<ClosedLoopCallers> callers =
                    List.of(ClosedLoopCallers.start(cluster, 0, 2, 10), ClosedLoopCallers.start(cluster, 1, 2, 10));
            runDomainCommand(cluster, "drain");
            long drainedAtNanos = System.nanoTime();
            Set<String> seen = idsInDrainedDomain(cluster);
            long lastStartMs = 0;
            while (System.nanoTime() - drainedAtNanos < Duration.ofSeconds(8).toNanos()) {
                if (seen.addAll(idsInDrainedDomain(cluster))) {
                    lastStartMs = (System.nanoTime() - drainedAtNanos) / 1_000_000L;
                }
                Thread.sleep(20);
            }
            assertTrue(lastStartMs <= 3_000, "a request started " + lastStartMs + " ms after the drain");
            TestCluster.assertAllComplete("drain", inFlight, 300);
            runDomainCommand(cluster, "restore");
            long restoreMs = TestCluster.await(
                    Duration.ofSeconds(8),
                    "a request is started in the restored domain",
                    () -> seen.addAll(idsInDrainedDomain(cluster)));
            for (ClosedLoopCallers c : callers) {
                c.stop();
                c.assertAllComplete();
            }
            MeasurementLog.print(
                    "domain drained: last start %d ms after the command, back %d ms after restore",
                    lastStartMs, restoreMs);
        }
    }

    private static Set<String> idsInDrainedDomain(TestCluster cluster) throws Exception {
        Set<String> ids = new HashSet<>();
        cluster.requests(1).forEach(r -> ids.add(r.path("id").asText()));
        return ids;
    }

    private static void runDomainCommand(TestCluster cluster, String command) throws Exception {
        List<String> commandLine = List.of(
                System.getProperty("jujuberouter.binary"),
                "domain",
                command,
                TestCluster.DOMAINS.get(1),
                "--store=http://" + cluster.store.address());
        assertEquals(0, new ProcessBuilder(commandLine).inheritIO().start().waitFor());
    }

    /** Guards against one request that crashes one engine after another. */
    @Tag("known-red")
    @Test
    void losesAtMostTwoEnginesToARequestThatCrashesThem() throws Exception {
        try (TestCluster cluster = TestCluster.start(3, 2, 5, "--restart-delay-ms", "500")) {
            List<CompletableFuture<Answer>> otherStreams = cluster.streams("beside", 4, 150, 0, 1);
            List<CompletableFuture<Answer>> crashingRequests = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                crashingRequests.add(cluster.stream(i % 2, "please crash-the-engine", 20));
            }
            for (CompletableFuture<Answer> answer : crashingRequests) {
                assertEquals("quarantined", answer.join().code());
            }
            for (int i = 0; i < 6; i++) {
                cluster.stream(i % 2, "please crash-the-engine", 20).join().assertRefused(422, "quarantined");
            }
            TestCluster.assertAllComplete("beside", otherStreams, 150);
            long crashes = 0;
            for (int i = 0; i < 3; i++) {
                int engine = i;
                TestCluster.await(Duration.ofSeconds(5), "the engine has restarted", () -> isUp(cluster, engine));
                crashes += cluster.loadReport(i).path("boot").asLong() - 1;
            }
            assertTrue(crashes <= 2, crashes + " engines crashed");
            MeasurementLog.print("request that crashes engines, sent 12 times: %d crashes", crashes);
        }
    }

    private static boolean isUp(TestCluster cluster, int engine) throws Exception {
        try {
            return cluster.loadReport(engine).has("running");
        } catch (ConnectException e) {
            // The port is closed until the engine has restarted.
            return false;
        }
    }
}
