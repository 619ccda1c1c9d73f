package org.jujuberouter.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;
import org.junit.jupiter.api.Test;

/** Guards against accepted changes that are lost, applied twice, propagated late or reverted. */
class SettingsSimulationTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void appliesEachAcceptedChangeExactlyOnceOnAllInstancesWithoutReverting() throws Exception {
        Map<String, Integer> eventCounts = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            SettingsSimulation[] run = new SettingsSimulation[1];
            run[0] = new SettingsSimulation(seed, (store, change) -> {
                PendingSettingsChange pending = SettingsEditor.of(store, run[0].ticker, Duration.ofSeconds(5))
                        .begin(change);
                return pending::step;
            });
            List<String> violations = run[0].run();
            assertEquals(List.of(), violations, "seed " + seed);
            run[0].eventCounts.forEach((event, n) -> eventCounts.merge(event, n, Integer::sum));
        }
        System.out.println("[settings] " + SEEDS + " seeds: " + eventCounts);
        for (String event :
                List.of("resolved", "Conflict", "Unavailable", "Unknown", "pull", "restart", "delayed effect")) {
            assertTrue(eventCounts.getOrDefault(event, 0) > 0, "no seed covers the case " + event);
        }
    }

    @Test
    void detectsLostAndDuplicatedChangesOfAnEditorWithoutChangeIds() throws Exception {
        List<String> lostOrDuplicated = new ArrayList<>();
        int failedSeeds = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            List<String> violations = new SettingsSimulation(seed, UnconditionalRetry::new).run();
            failedSeeds += violations.isEmpty() ? 0 : 1;
            violations.stream().filter(b -> b.contains("and is there")).forEach(lostOrDuplicated::add);
        }
        System.out.println("[settings] editor without change ids: " + failedSeeds + " of " + SEEDS + " seeds fail");
        assertTrue(failedSeeds > SEEDS * 9 / 10, failedSeeds + " of " + SEEDS + " seeds failed");
        assertTrue(lostOrDuplicated.stream().anyMatch(b -> b.endsWith("there 0 times")));
        assertTrue(lostOrDuplicated.stream().anyMatch(b -> b.endsWith("there 2 times")));
    }

    /**
     * Overwrites concurrent changes, and retries a write whose reply was lost without checking whether it took effect.
     */
    private static final class UnconditionalRetry implements Supplier<Optional<SettingsResult>> {
        private final SimulatedStoreClient store;
        private final SettingsChange change;
        private SettingsDocument next;

        UnconditionalRetry(SimulatedStoreClient store, SettingsChange change) {
            this.store = store;
            this.change = change;
        }

        @Override
        public Optional<SettingsResult> get() {
            try {
                Optional<StoreEntry> entry = store.read(SettingsDocument.KEY);
                if (next == null) {
                    next = entry.isEmpty()
                            ? SettingsDocument.empty().withChange(change)
                            : SettingsDocument.decode(entry.get().value()).withChange(change);
                    return Optional.empty();
                }
                long revision = entry.map(StoreEntry::revision).orElse(0L);
                WriteOutcome outcome = store.compareAndSet(SettingsDocument.KEY, revision, next.encode(), null);
                if (outcome instanceof WriteOutcome.Done) {
                    return Optional.of(new SettingsResult.Accepted(next.last().orElseThrow(), false));
                }
                next = null;
            } catch (PlatformException | SettingsException e) {
                next = null;
            }
            return Optional.empty();
        }
    }
}
