package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards callers against failures of engines, on separate processes. */
@Tag("process")
class EngineFailuresTest {
    /** Guards against answers that are cut, repeated or mixed when the engine that writes them dies. */
    @Test
    void continuesTenStreamsWhenAnEngineDies() throws Exception {
        try (Site site = Site.start(3, 2, 5)) {
            List<CompletableFuture<Answer>> answers = site.streams("crash", 10, 200, 0, 1);
            int busiest = busiest(site);
            int lost = site.running(busiest).size();
            site.engines.get(busiest).kill();
            long gap = Site.assertAllWhole("crash", answers, 200);
            Measured.print("engine killed: %d of 10 streams moved, longest pause %d ms", lost, gap);
        }
    }

    /** Guards against callers that wait for ever on a connection which is open and carries nothing. */
    @Test
    void resumesStreamsWithinFiveSecondsWhenConnectionsGoSilent() throws Exception {
        try (Site site = Site.start(2, 2, 5)) {
            List<CompletableFuture<Answer>> answers = site.streams("silent", 8, 200, 0, 1);
            busiest(site);
            site.engineFault(0, "silent");
            site.engineFault(1, "silent");
            long gap = Site.assertAllWhole("silent", answers, 200);
            assertTrue(gap > 900, "no stream was silenced");
            assertTrue(gap < 5_000, "a stream stood still for " + gap + " ms");
            Measured.print("silent connections: longest pause %d ms", gap);
        }
    }

    /** Waits until an engine runs several streams and returns its index. */
    private static int busiest(Site site) throws Exception {
        int[] found = {0};
        Site.await(Duration.ofSeconds(15), "an engine runs two streams", () -> {
            for (int i = 0; i < site.engines.size(); i++) {
                if (site.running(i).size() >= 2) {
                    found[0] = i;
                    return true;
                }
            }
            return false;
        });
        Thread.sleep(500);
        return found[0];
    }
}
