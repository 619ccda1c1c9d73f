package org.jujuberouter.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.DoubleNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.standin.StoreFault;
import org.jujuberouter.standin.StoreServer;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.supervisor.ChildSpec;
import org.jujuberouter.supervisor.RestartIntensity;
import org.jujuberouter.supervisor.RestartStrategy;
import org.jujuberouter.supervisor.Supervisor;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a watch that misses changes over HTTP or after an outage, and against a slow stop of a waiting watch. */
@Timeout(60)
class SettingsOverHttpTest {
    private static final int INSTANCES = 8;
    private static final long IN_FORCE_MS = 4_000;

    @Test
    void bringsChangesIntoForceOnAllInstancesAlsoAfterAnOutage() throws Exception {
        try (StoreServer server = StoreServer.start()) {
            PlatformStore store = HttpPlatformStore.at(server.address());
            SettingsEditor editor = SettingsEditor.of(store, Ticker.system(), Duration.ofSeconds(10));
            List<SettingsCache> caches = new ArrayList<>();
            List<ChildSpec> children = new ArrayList<>();
            for (int i = 0; i < INSTANCES; i++) {
                SettingsCache cache = SettingsCache.create(Ticker.system());
                SettingsWatcher watch = SettingsWatcher.of(HttpPlatformStore.at(server.address()), cache);
                caches.add(cache);
                children.add(ChildSpec.interruptibleWorker("settings-watch-" + i, stop -> {
                    while (!stop.isRequested()) {
                        stop.await(watch.step());
                    }
                }));
            }
            Supervisor all =
                    Supervisor.of("instances", new RestartStrategy.OneForOne(), RestartIntensity.defaults(), children);
            all.start();
            long first = inForceAfter(editor, caches, 1);
            server.inject(StoreFault.of(StoreFault.Kind.REFUSE));
            Thread.sleep(1_000);
            server.inject(StoreFault.none());
            long second = inForceAfter(editor, caches, 2);
            long stopping = System.nanoTime();
            all.close();
            long stopped = (System.nanoTime() - stopping) / 1_000_000;
            System.out.println("[settings] over HTTP in force on " + INSTANCES + " instances after " + first
                    + " ms, after an outage " + second + " ms; stopped in " + stopped + " ms");
            assertTrue(stopped < 2_000, "the watches took " + stopped + " ms to stop");
        }
    }

    private static long inForceAfter(SettingsEditor editor, List<SettingsCache> caches, long version)
            throws InterruptedException {
        SettingsChange change = SettingsChange.of("c" + version, "op", 0, "", version - 1)
                .set("global/weight", DoubleNode.valueOf(version));
        assertInstanceOf(SettingsResult.Accepted.class, editor.apply(change));
        long accepted = System.nanoTime();
        while (!caches.stream().allMatch(c -> c.version() == version)) {
            long waited = (System.nanoTime() - accepted) / 1_000_000;
            assertTrue(waited < IN_FORCE_MS, "version " + version + " is not in force after " + waited + " ms");
            Thread.sleep(1);
        }
        caches.forEach(c -> assertEquals("", c.problem()));
        return (System.nanoTime() - accepted) / 1_000_000;
    }
}
