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

/**
 * Guards against a watch that misses changes over HTTP or after an outage, and against a waiting watch that stops
 * slowly.
 */
@Timeout(60)
class SettingsOverHttpTest {
    private static final int INSTANCES = 8;
    private static final long MAX_PROPAGATION_MS = 4_000;

    @Test
    void propagatesChangesToAllInstancesAlsoAfterAnOutage() throws Exception {
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
            Supervisor supervisor =
                    Supervisor.of("instances", new RestartStrategy.OneForOne(), RestartIntensity.defaults(), children);
            supervisor.start();
            long firstMs = measurePropagationMs(editor, caches, 1);
            server.inject(StoreFault.of(StoreFault.Kind.REFUSE));
            Thread.sleep(1_000);
            server.inject(StoreFault.none());
            long secondMs = measurePropagationMs(editor, caches, 2);
            long stopStartNanos = System.nanoTime();
            supervisor.close();
            long stopMs = (System.nanoTime() - stopStartNanos) / 1_000_000;
            System.out.println("[settings] over HTTP propagated to " + INSTANCES + " instances after " + firstMs
                    + " ms, after an outage " + secondMs + " ms; stopped in " + stopMs + " ms");
            assertTrue(stopMs < 2_000, "the watches took " + stopMs + " ms to stop");
        }
    }

    private static long measurePropagationMs(SettingsEditor editor, List<SettingsCache> caches, long version)
            throws InterruptedException {
        SettingsChange change = SettingsChange.of("c" + version, "op", 0, "", version - 1)
                .set("global/weight", DoubleNode.valueOf(version));
        assertInstanceOf(SettingsResult.Accepted.class, editor.apply(change));
        long acceptedNanos = System.nanoTime();
        while (!caches.stream().allMatch(c -> c.version() == version)) {
            long elapsedMs = (System.nanoTime() - acceptedNanos) / 1_000_000;
            assertTrue(
                    elapsedMs < MAX_PROPAGATION_MS,
                    "version " + version + " was not propagated within " + elapsedMs + " ms");
            Thread.sleep(1);
        }
        caches.forEach(c -> assertEquals("", c.problem()));
        return (System.nanoTime() - acceptedNanos) / 1_000_000;
    }
}
