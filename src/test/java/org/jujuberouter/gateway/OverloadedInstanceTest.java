package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.dispatch.DomainMode;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an instance that accepts calls which its slow event loop alone makes late. */
class OverloadedInstanceTest {
    /** Each run of the timer is 450 ms late, so calls are 1,350 ms late: beyond an objective of 1 s, within 5 s. */
    private static final long TURN_MS = 700;

    private StandinSite site;
    private InstanceFixture fixture;
    private URI base;
    private EventLoop loop;
    private volatile boolean busy;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(3, 2, 20);
        fixture = InstanceFixture.before(site, files);
    }

    @AfterEach
    void stopSite() {
        busy = false;
        fixture.close();
        site.close();
    }

    private void startInstance(boolean overload) throws Exception {
        Path file = files.resolve("first.json");
        base = URI.create(
                "http://127.0.0.1:" + site.writeNodeFile(file, "first").getPort());
        OptionalFeatures features = new OptionalFeatures(DomainMode.ANY, false, false, overload, false);
        loop = GatewayDaemon.start(NodeFile.read(file).withFeatures(features), HttpPlatformAdapter.create())
                .loop();
        awaitServed();
    }

    private void awaitServed() throws InterruptedException {
        InstanceFixture.await(
                () -> send("/read/x", "served-" + System.nanoTime()).join().statusCode() == 200);
    }

    private CompletableFuture<HttpResponse<String>> send(String path, String id) {
        return fixture.send(base, path, id, "X-Jujuberouter-Deadline-Ms", "12000");
    }

    /** Makes each turn of the event loop take as long as on a machine that is too slow, until the test is over. */
    private void slowDown() throws InterruptedException {
        busy = true;
        loop.execute(this::takeTime);
        // Three late runs of the timer show the lag.
        Thread.sleep(4 * TURN_MS);
    }

    private void takeTime() {
        if (busy) {
            try {
                Thread.sleep(TURN_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            // A task that is executed at once would run before the events of the next turn.
            loop.schedule(this::takeTime, 1, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void rejectsCallsThatItsLagMakesLateAsNotRunAndServesTheOthers() throws Exception {
        startInstance(true);
        slowDown();
        CompletableFuture<HttpResponse<String>> patient = send("/history/stream", "patient");
        HttpResponse<String> rejected = send("/read/x", "late").join();
        assertEquals(503, rejected.statusCode());
        assertTrue(rejected.body().startsWith("the instance lags"), rejected.body());
        String retryAfter = rejected.headers().firstValue("Retry-After").orElseThrow();
        assertTrue(Double.parseDouble(retryAfter) <= 1, "Retry-After: " + retryAfter);
        assertFalse(site.ledgers().stream().anyMatch(e -> e.runs().contains("late")), "the call has run");
        assertEquals(200, patient.join().statusCode());
        busy = false;
        awaitServed();
    }

    /** Without the setting, calls are served as before. */
    @Test
    void rejectsNothingWhereItIsNotSwitchedOn() throws Exception {
        startInstance(false);
        slowDown();
        assertEquals(200, send("/read/x", "late").join().statusCode());
    }

    /** A caller that closes its connection before its call has started must not break the connections of others. */
    @Test
    void survivesCallersThatLeaveBeforeTheirCallHasStarted() throws Exception {
        startInstance(true);
        slowDown();
        for (int i = 0; i < 5; i++) {
            CompletableFuture<HttpResponse<String>> call = send("/history/x", "left-" + i);
            Thread.sleep(100);
            call.cancel(true);
        }
        busy = false;
        awaitServed();
    }
}
