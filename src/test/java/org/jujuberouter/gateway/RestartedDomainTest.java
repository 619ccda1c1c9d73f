package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Restarts the engines of a failure domain together, so that their hosts refuse connections for a while. */
class RestartedDomainTest {
    private static final String SERVICE = "assistant";
    private static final int RESTARTED = 3;

    private StandinSite site;
    private InstanceFixture fixture;
    private URI base;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(RESTARTED, 1, 5);
        fixture = InstanceFixture.before(site, files);
        base = fixture.start("first").base();
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        site.close();
    }

    /**
     * Three refused connections once counted as a domain that is cut off, so that a domain whose engines were back was
     * avoided for 1 s and more, while the engines of the other domains were overloaded.
     */
    @Test
    void usesTheFirstEngineThatIsBack() throws Exception {
        site.engines().forEach(EngineStandin::close);
        try (EngineStandin away = EngineStandin.start("away", 5);
                EngineStandin back = EngineStandin.start("engine-0", 5)) {
            site.store().put("servers/away", away.registration(SERVICE, "south", "ready"));
            assertEquals(200, sendAll("refused", 6).getLast().join().statusCode());
            site.register(back, SERVICE, "ready");
            List<CompletableFuture<HttpResponse<String>>> answers = sendAll("later", 30);
            answers.forEach(a -> assertEquals(200, a.join().statusCode()));
            assertFalse(back.runs().isEmpty(), "the domain of the restarted engines was avoided");
        }
    }

    private List<CompletableFuture<HttpResponse<String>>> sendAll(String name, int count) throws InterruptedException {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            answers.add(fixture.send(base, "/talk/stream", name + "-" + i));
            Thread.sleep(10);
        }
        return answers;
    }
}
