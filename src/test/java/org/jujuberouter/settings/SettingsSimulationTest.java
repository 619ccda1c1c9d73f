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

/** Guards against accepted changes that are lost, made twice, late or taken back. */
class SettingsSimulationTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void bringsEachAcceptedChangeIntoForceOnceEverywhereAndNeverBack() throws Exception {
        Map<String, Integer> seen = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            SettingsSimulation[] run = new SettingsSimulation[1];
            run[0] = new SettingsSimulation(seed, (store, change) -> {
                PendingSettingsChange edit = SettingsEditor.of(store, run[0].ticker, Duration.ofSeconds(5))
                        .begin(change);
                return edit::step;
            });
            List<String> broken = run[0].run();
            assertEquals(List.of(), broken, "seed " + seed);
            run[0].seen.forEach((what, n) -> seen.merge(what, n, Integer::sum));
        }
        System.out.println("[settings] " + SEEDS + " seeds: " + seen);
        for (String what :
                List.of("resolved", "Conflict", "Unavailable", "Unknown", "pull", "restart", "delayed effect")) {
            assertTrue(seen.getOrDefault(what, 0) > 0, "the runs show no case of " + what);
        }
    }

    @Test
    void findsTheFaultsOfAnEditorWithoutChangeIds() throws Exception {
        List<String> lostOrTwice = new ArrayList<>();
        int failed = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            List<String> broken = new SettingsSimulation(seed, NaiveEdit::new).run();
            failed += broken.isEmpty() ? 0 : 1;
            broken.stream().filter(b -> b.contains("and is there")).forEach(lostOrTwice::add);
        }
        System.out.println("[settings] naive editor: " + failed + " of " + SEEDS + " seeds fail");
        assertTrue(failed > SEEDS * 9 / 10, failed + " of " + SEEDS + " seeds failed");
        assertTrue(lostOrTwice.stream().anyMatch(b -> b.endsWith("there 0 times")));
        assertTrue(lostOrTwice.stream().anyMatch(b -> b.endsWith("there 2 times")));
    }

    /** Writes over whatever stands there and repeats a write whose reply was lost. */
    private static final class NaiveEdit implements Supplier<Optional<SettingsResult>> {
        private final FaultyStore store;
        private final SettingsChange change;
        private SettingsDocument next;

        NaiveEdit(FaultyStore store, SettingsChange change) {
            this.store = store;
            this.change = change;
        }

        @Override
        public Optional<SettingsResult> get() {
            try {
                Optional<StoreEntry> entry = store.read(SettingsDocument.KEY);
                if (next == null) {
                    next = entry.isEmpty()
                            ? SettingsDocument.empty().with(change)
                            : SettingsDocument.decode(entry.get().value()).with(change);
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
