package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs instances whose engines crash when they begin to answer a request with one part in its prompt. */
class CrashQuarantineTest {
    private static final String SHARED = "3fcf6a3e3af2";
    private static final String DEADLY = "7f94cfada01e";

    /** Most crashes after which the platform lets such requests reach engines for the time below. */
    private static final int MAX_CRASHES = 5;

    /** Time within which all instances must refuse them. */
    private static final long CONTACT_MS = 3_000;

    /** Time after which a crash that is read from the store cannot have the cause of an earlier one. */
    private static final long APART_MS = 1_200;

    private final List<GatewayDaemon> daemons = new ArrayList<>();
    private StandinSite site;
    private InstanceFixture fixture;
    private int calls;

    @TempDir
    private Path files;

    @BeforeEach
    void startSite() throws Exception {
        site = StandinSite.start(8, 1, 20);
        fixture = InstanceFixture.before(site, files);
    }

    @AfterEach
    void stopSite() {
        fixture.close();
        daemons.forEach(GatewayDaemon::close);
        site.close();
    }

    private URI startInstance(String name) throws Exception {
        InstanceFixture.Instance instance = fixture.start(name);
        daemons.add(instance.daemon());
        InstanceFixture.await(() -> status(send(instance.base(), SHARED)) == 200);
        return instance.base();
    }

    /** The engines crash one after the other if each instance only bounds its own retries. */
    @Test
    void refusesRequestsWithAPartThatCrashesEngines() throws Exception {
        URI first = startInstance("first");
        URI second = startInstance("second");
        site.engines().forEach(e -> e.setDeadlyPart(DEADLY));
        for (int i = 0; crashes() < MAX_CRASHES && i < 2 * MAX_CRASHES; i++) {
            status(send(i % 2 == 0 ? first : second, SHARED + ":40," + DEADLY));
        }
        Thread.sleep(CONTACT_MS);
        int crashesBefore = crashes();
        for (int i = 0; i < 6; i++) {
            HttpResponse<String> refusal =
                    send(i % 2 == 0 ? first : second, SHARED + ":40," + DEADLY).join();
            assertEquals(503, refusal.statusCode());
            assertTrue(refusal.body().contains("crash endpoints"), refusal.body());
            assertTrue(refusal.headers().firstValue("Retry-After").isPresent());
        }
        assertEquals(crashesBefore, crashes());
    }

    @Test
    void servesSoundRequestsThatShareTheOtherParts() throws Exception {
        URI first = startInstance("first");
        site.engines().forEach(e -> e.setDeadlyPart(DEADLY));
        for (int i = 0; i < 4; i++) {
            status(send(first, SHARED + ":40," + DEADLY));
        }
        Thread.sleep(CONTACT_MS);
        for (int i = 0; i < 10; i++) {
            assertEquals(200, send(first, SHARED).join().statusCode());
        }
    }

    /** An instance that starts later has seen none of the crashes. */
    @Test
    void knowsOfQuarantinesAfterAStart() throws Exception {
        URI first = startInstance("first");
        site.engines().forEach(e -> e.setDeadlyPart(DEADLY));
        for (int i = 0; i < 4; i++) {
            status(send(first, SHARED + ":40," + DEADLY));
        }
        InstanceFixture.await(() -> !site.store().keys("quarantine/").isEmpty());
        daemons.removeFirst().close();
        int crashesBefore = crashes();
        URI second = startInstance("second");
        HttpResponse<String> refusal = send(second, SHARED + ":40," + DEADLY).join();
        assertEquals(503, refusal.statusCode());
        assertTrue(refusal.body().contains("crash endpoints"), refusal.body());
        assertEquals(crashesBefore, crashes());
    }

    /** Three crashes quarantine a part even if no group of instances has seen all of them. */
    @Test
    void countsCrashesThatInstancesOfOtherGroupsWroteToTheStore() throws Exception {
        URI first = startInstance("first");
        for (int i = 0; i < 3; i++) {
            writeCrashOfOtherGroup(i);
            Thread.sleep(APART_MS);
        }
        // An answer to such a request before the quarantine would clear the part.
        Thread.sleep(CONTACT_MS);
        assertEquals(503, status(send(first, SHARED + ":40," + DEADLY)));
        assertEquals(200, status(send(first, SHARED)));
    }

    /** A power failure of many endpoints was taken for as many crashes by the part that all prompts share. */
    @Test
    void countsCrashesThatInstancesOfOtherGroupsWroteTogetherAsOne() throws Exception {
        URI first = startInstance("first");
        for (int i = 0; i < 3; i++) {
            writeCrashOfOtherGroup(i);
        }
        Thread.sleep(APART_MS);
        assertEquals(200, status(send(first, SHARED + ":40," + DEADLY)));
        assertEquals(List.of(), site.store().keys("quarantine/"));
    }

    /** All requests were refused for ten minutes, since the part that all prompts share was suspected of each crash. */
    @Test
    void servesRequestsAgainAfterAllEnginesCrashedTogether() throws Exception {
        URI first = startInstance("first");
        site.engines().forEach(e -> e.setBehaviour(EngineStandin.Behaviour.PREFILL));
        List<CompletableFuture<HttpResponse<String>>> cut = new ArrayList<>();
        while (enginesWithRuns() < 6) {
            cut.add(send(first, SHARED));
            Thread.sleep(10);
        }
        site.engines().forEach(EngineStandin::crash);
        site.engines().forEach(e -> e.setBehaviour(EngineStandin.Behaviour.ANSWER));
        cut.forEach(CrashQuarantineTest::status);
        InstanceFixture.await(() -> status(send(first, SHARED)) == 200);
        assertEquals(List.of(), site.store().keys("quarantine/"));
    }

    private long enginesWithRuns() {
        return site.engines().stream().filter(e -> !e.runs().isEmpty()).count();
    }

    private void writeCrashOfOtherGroup(int i) {
        String call = "[[\"part/assistant/" + DEADLY + "\",\"request/assistant/f" + i + "\"]]";
        site.store().put("crashes/other-engine-" + i + "/other-instance", call);
    }

    /** An operator deletes the key once the cause is repaired. */
    @Test
    void servesRequestsAgainWhenTheQuarantineIsDeleted() throws Exception {
        URI first = startInstance("first");
        site.engines().forEach(e -> e.setDeadlyPart(DEADLY));
        for (int i = 0; i < 4; i++) {
            status(send(first, SHARED + ":40," + DEADLY));
        }
        InstanceFixture.await(() -> !site.store().keys("quarantine/").isEmpty());
        assertEquals(503, status(send(first, SHARED + ":40," + DEADLY)));
        site.engines().forEach(e -> e.setDeadlyPart(""));
        site.store().keys("quarantine/").forEach(site.store()::remove);
        InstanceFixture.await(() -> status(send(first, SHARED + ":40," + DEADLY)) == 200);
    }

    private int crashes() {
        return site.engines().stream().mapToInt(EngineStandin::crashes).sum();
    }

    /** Sends a request with its own id, body and last part. */
    private CompletableFuture<HttpResponse<String>> send(URI base, String sharedParts) {
        String lastPart = Integer.toHexString(++calls) + ":900";
        return fixture.send(
                base, "/talk/stream", "call-" + calls, "X-Jujuberouter-Prefix-Hash", sharedParts + ":60," + lastPart);
    }

    /** Returns the status, or 0 if the answer was cut. */
    private static int status(CompletableFuture<HttpResponse<String>> answer) {
        try {
            return answer.join().statusCode();
        } catch (CompletionException e) {
            assertTrue(e.getCause() instanceof IOException, String.valueOf(e.getCause()));
            return 0;
        }
    }
}
