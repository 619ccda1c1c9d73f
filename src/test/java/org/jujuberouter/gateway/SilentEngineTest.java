package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.EngineStandin.Behaviour;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends large prompts, whose callers wait long for the first event, to engines that send nothing. */
class SilentEngineTest {
    private static final int ENGINES = 3;

    private static final String[] DEADLINE = {"X-Jujuberouter-Deadline-Ms", "14000"};

    private StandinSite site;
    private InstanceFixture fixture;
    private URI base;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(ENGINES, 1, 20);
        fixture = InstanceFixture.before(site, files);
        base = fixture.start("first").base();
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        site.close();
    }

    private long runs(String id) {
        return site.engines().stream().filter(e -> e.runs().contains(id)).count();
    }

    /**
     * A call waited for most of its deadline at an engine that was gone, and there was no time left for another one. The
     * limit without probes is 0.7 of the caller's timeout, here 9.8 s.
     */
    @Test
    void leavesAnEngineThatIsGoneLongBeforeTheCallersTimeout() throws Exception {
        site.engines().forEach(e -> e.setBehaviour(Behaviour.FREEZE));
        long since = System.nanoTime();
        CompletableFuture<HttpResponse<String>> answer = fixture.send(base, "/history/stream", "large", DEADLINE);
        InstanceFixture.await(() -> runs("large") == 1);
        for (EngineStandin e : site.engines()) {
            if (!e.runs().contains("large")) {
                e.setBehaviour(Behaviour.ANSWER);
            }
        }
        assertEquals(200, answer.join().statusCode());
        assertEquals(2, runs("large"));
        assertTrue(Duration.ofNanos(System.nanoTime() - since).toMillis() < 6_000);
    }

    /** An engine that works on a large prompt is silent for seconds; leaving it would waste what it has read. */
    @Test
    void staysAtASilentEngineThatAnswersProbes() throws Exception {
        site.engines().forEach(e -> e.setBehaviour(Behaviour.HANG));
        fixture.send(base, "/history/stream", "slow", DEADLINE);
        InstanceFixture.await(() -> runs("slow") == 1);
        Thread.sleep(5_000);
        assertEquals(1, runs("slow"));
    }
}
