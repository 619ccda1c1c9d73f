package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.EngineStandin.Behaviour;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Endpoints state in their responses that they shut down or want a pause; requests were sent to them nevertheless. */
class LeavingEndpointTest {
    private static final int CALLS = 20;

    private StandinSite site;
    private InstanceFixture fixture;
    private URI base;
    private EngineStandin first;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(2, 1, 5);
        fixture = InstanceFixture.before(site, files);
        base = fixture.start("first").base();
        first = site.engines().getFirst();
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        site.close();
    }

    private void callUntilAnswered(EngineStandin engine, String name) {
        for (int i = 0; engine.requests().isEmpty(); i++) {
            assertTrue(i < 200, "no request reached " + engine.id());
            assertEquals(
                    200, fixture.send(base, "/chat/stream", name + i).join().statusCode());
        }
    }

    private List<String> requestsToFirstDuring(String name) {
        int before = first.requests().size();
        for (int i = 0; i < CALLS; i++) {
            assertEquals(
                    200, fixture.send(base, "/chat/stream", name + i).join().statusCode());
        }
        List<String> all = first.requests();
        return all.subList(before, all.size());
    }

    /** The store may show an endpoint as ready for seconds after it has begun to shut down. */
    @Test
    void sendsNothingToAnEngineThatLeavesUntilItsNextRun() throws Exception {
        first.setCallHeader("Server-Leaving", "1");
        callUntilAnswered(first, "find");
        site.register(first, "assistant", "ready");
        assertEquals(List.of(), requestsToFirstDuring("leaving"), "requests to an engine that leaves");
        try (EngineStandin next = EngineStandin.start(first.id(), 5)) {
            site.register(next, "assistant", "ready");
            Thread.sleep(300);
            callUntilAnswered(next, "next");
        }
    }

    /** An engine that is recovering would be kept busy by the requests that it turns away. */
    @Test
    void sendsNothingToAnEngineForThePauseThatItAsksFor() throws Exception {
        first.setBehaviour(Behaviour.REFUSE);
        first.setCallHeader("Retry-After", "1.5");
        callUntilAnswered(first, "find");
        long since = System.nanoTime();
        List<String> during = requestsToFirstDuring("pause");
        assertTrue(System.nanoTime() - since < 1_500_000_000L, "the calls took longer than the pause");
        assertEquals(List.of(), during, "requests in the pause");
        Thread.sleep(1_600);
        assertFalse(requestsToFirstDuring("after").isEmpty(), "requests after the pause");
    }

    /** The registration ends when the engine is cut off from the store, and returns for the same run. */
    @Test
    void keepsThePauseOfAnEngineWhoseRegistrationEndsAndReturns() throws Exception {
        first.setBehaviour(Behaviour.REFUSE);
        first.setCallHeader("Retry-After", "20");
        callUntilAnswered(first, "find");
        site.store().remove("servers/" + first.id());
        assertEquals(List.of(), requestsToFirstDuring("unregistered"));
        site.register(first, "assistant", "ready");
        Thread.sleep(300);
        assertEquals(List.of(), requestsToFirstDuring("pause"), "requests in the pause");
    }
}
