package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.KvStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against endpoints that an instance uses after they have left, because it had lost the store before. */
class StoreReturnTest {
    /** Longest time for which an instance may not notice that the store serves it again: its longest retry delay. */
    private static final long RECONNECT_MS = 500;

    /** Time after the return of the store from which on a missing entry counts as gone, as the platform states. */
    private static final long BACK_MS = 2_000;

    private static final long REMOVED_AFTER_MS = 1_200;

    /** Time after which an instance has to be in touch again, whatever failed before. */
    private static final long IN_TOUCH_MS = 3_000;

    @TempDir
    private Path files;

    /** A removal soon after the return of the store was taken for a lease that had expired during the outage. */
    @Test
    void sendsNothingToAnEndpointThatLeavesSoonAfterTheStoreHasReturned() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 20);
                InstanceFixture fixture = InstanceFixture.before(site, files)) {
            InstanceFixture.Instance instance = fixture.start("first");
            site.store().setMode(KvStandin.Mode.UNAVAILABLE);
            Thread.sleep(1_500);
            site.store().setMode(KvStandin.Mode.SERVING);
            Thread.sleep(REMOVED_AFTER_MS);
            EngineStandin leaving = site.ledgers().getFirst();
            site.store().remove("servers/" + leaving.id());
            Thread.sleep(RECONNECT_MS + BACK_MS - REMOVED_AFTER_MS);
            assertEquals(
                    503,
                    fixture.send(instance.base(), "/read/x", "after").join().statusCode());
            assertEquals(false, leaving.runs().contains("after"));
        }
    }

    /** The removal of an entry was taken for a lease that had expired, as the connection had been silent at the time. */
    @Test
    void sendsNothingToAnEndpointThatLeftWhileTheConnectionToTheStoreWasSilent() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 20);
                InstanceFixture fixture = InstanceFixture.before(site, files)) {
            InstanceFixture.Instance instance = fixture.start("first");
            EngineStandin leaving = site.ledgers().getFirst();
            site.store().silenceOpenConnections();
            site.store().remove("servers/" + leaving.id());
            Thread.sleep(IN_TOUCH_MS);
            assertEquals(
                    503,
                    fixture.send(instance.base(), "/read/x", "after").join().statusCode());
            assertEquals(false, leaving.runs().contains("after"));
        }
    }
}
