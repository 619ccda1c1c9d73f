package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Checks that callers receive complete answers when engines fail, with separate processes. */
@Tag("process")
class EngineFailuresTest {
    /** Guards against answers that are truncated, repeated or mixed up when their engine is killed. */
    @Test
    void resumesTenStreamsWhenAnEngineIsKilled() throws Exception {
        try (TestCluster cluster = TestCluster.start(3, 2, 5)) {
            List<CompletableFuture<Answer>> answers = cluster.streams("crash", 10, 200, 0, 1);
            int engine = awaitEngineWithTwoStreams(cluster);
            int interruptedStreams = cluster.activeRequestIds(engine).size();
            cluster.engines.get(engine).kill();
            long longestGapMs = TestCluster.assertAllComplete("crash", answers, 200);
            MeasurementLog.print(
                    "engine killed: %d of 10 streams moved, longest pause %d ms", interruptedStreams, longestGapMs);
        }
    }

    /** Guards against callers that wait indefinitely because an engine's connection is open but sends nothing. */
    @Test
    void resumesStreamsWithinFiveSecondsWhenConnectionsGoSilent() throws Exception {
        try (TestCluster cluster = TestCluster.start(2, 2, 5)) {
            List<CompletableFuture<Answer>> answers = cluster.streams("silent", 8, 200, 0, 1);
            awaitEngineWithTwoStreams(cluster);
            cluster.engineFault(0, "silent");
            cluster.engineFault(1, "silent");
            long longestGapMs = TestCluster.assertAllComplete("silent", answers, 200);
            assertTrue(longestGapMs > 900, "no stream was interrupted");
            assertTrue(longestGapMs < 5_000, "a stream paused for " + longestGapMs + " ms");
            MeasurementLog.print("silent connections: longest pause %d ms", longestGapMs);
        }
    }

    /** Waits until an engine runs at least two streams and returns its index. */
    private static int awaitEngineWithTwoStreams(TestCluster cluster) throws Exception {
        int[] engineIndex = {0};
        TestCluster.await(Duration.ofSeconds(15), "an engine runs two streams", () -> {
            for (int i = 0; i < cluster.engines.size(); i++) {
                if (cluster.activeRequestIds(i).size() >= 2) {
                    engineIndex[0] = i;
                    return true;
                }
            }
            return false;
        });
        Thread.sleep(500);
        return engineIndex[0];
    }
}
