package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.jujuberouter.platform.standin.KvStandin;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes that instances skip because the store was restored from a copy and gives out revisions anew. */
class StoreRestoreTest {
    /** Time for a change to be in force at an instance. */
    private static final long APPLIED_MS = 2_000;

    @TempDir
    private Path files;

    /** The new version had a lower revision than the one before the restore, so the key was accepted for good. */
    @Test
    void refusesAKeyThatIsTakenAwayAfterTheStoreWasRestored() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 20);
                InstanceFixture fixture = InstanceFixture.before(site, files)) {
            InstanceFixture.Instance instance = fixture.start("first");
            site.store().copy();
            for (int i = 0; i < 20; i++) {
                site.configure(true);
            }
            assertEquals(200, status(fixture, instance, "before"));
            Thread.sleep(APPLIED_MS);
            site.store().setMode(KvStandin.Mode.UNAVAILABLE);
            Thread.sleep(500);
            site.store().restore();
            site.store().setMode(KvStandin.Mode.SERVING);
            site.configure(true);
            assertEquals(200, status(fixture, instance, "restored"));
            site.configure(false);
            Thread.sleep(APPLIED_MS);
            assertEquals(401, status(fixture, instance, "revoked"));
        }
    }

    private static int status(InstanceFixture fixture, InstanceFixture.Instance instance, String id) {
        return fixture.send(instance.base(), "/read/x", id).join().statusCode();
    }
}
