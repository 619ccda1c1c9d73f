package org.jujuberouter.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.jujuberouter.duty.DutySimulation.Variant;
import org.junit.jupiter.api.Test;

/** Guards against two leaders, changed reports and alternating leadership under pauses, suspensions and lost messages. */
class DutySimulationTest {
    private static final int SEEDS = 200;
    private static final long DURATION_MS = 120_000;

    /** A stop lasts 12 s at most; then the lease expires after 6 s, a leader is elected and the windows are resent. */
    private static final long RECOVERY_MS = 40_000;

    private static List<String> violations(Variant variant) {
        return LongStream.range(0, SEEDS)
                .boxed()
                .flatMap(seed -> new DutySimulation(seed, variant, true)
                        .run(DURATION_MS).violations.stream().map(v -> "seed " + seed + ": " + v))
                .toList();
    }

    private static void assertNoticed(Variant variant, String violation) {
        assertTrue(violations(variant).stream().anyMatch(v -> v.contains(violation)), variant + " was not noticed");
    }

    @Test
    void neverUsesATokenTwiceNorChangesAReportNorAlternates() {
        assertEquals(List.of(), violations(Variant.CORRECT));
    }

    /** Guards against a leader that acts so rarely that nothing is reported, and against windows that are left out. */
    @Test
    void reportsEveryWindowOnceFaultsHaveEnded() {
        for (long seed = 0; seed < SEEDS; seed++) {
            DutySimulation simulation = new DutySimulation(seed, Variant.CORRECT, true)
                    .run(DURATION_MS)
                    .endFaults()
                    .run(RECOVERY_MS);
            Set<Long> windows = simulation.acceptedAt.keySet();
            List<Long> missing = LongStream.range(Collections.min(windows), simulation.currentWindow() - 1)
                    .filter(w -> !windows.contains(w) && simulation.hasSurvivor(w))
                    .boxed()
                    .toList();
            assertEquals(List.of(), missing, "seed " + seed);
            assertTrue(windows.contains(simulation.currentWindow() - 2), "seed " + seed + ": windows " + windows);
        }
    }

    /** Guards against counts that are lost, counted twice or late without any fault. */
    @Test
    void reportsEachRequestOnceAndInTimeWithoutFaults() {
        DutySimulation simulation = new DutySimulation(7, Variant.CORRECT, false).run(DURATION_MS);
        long unreported = simulation.executed - simulation.acceptedTotal();
        assertTrue(unreported >= 0 && unreported < simulation.executed / 10, unreported + " not reported");
        simulation.acceptedAt.forEach((window, at) -> assertTrue(
                at - (window + 1) * DutySimulation.WINDOW_MS < 2_000, "window " + window + " accepted at " + at));
    }

    /** Guards against reports that are lost with the processes that had committed them. */
    @Test
    void sendsTheCommittedWindowsAfterAllInstancesWereKilled() {
        DutySimulation simulation = new DutySimulation(7, Variant.CORRECT, false)
                .setApiDown(true)
                .run(22_000)
                .killAll(1_500)
                .setApiDown(false)
                .run(12_000);
        Set<Long> windows = simulation.acceptedAt.keySet();
        long first = DutySimulation.START_MS / DutySimulation.WINDOW_MS;
        assertTrue(windows.containsAll(List.of(first, first + 1, first + 2, first + 3)), "accepted: " + windows);
        assertEquals(List.of(), simulation.violations);
    }

    /** Guards against a store that fills up while the platform's API is down. */
    @Test
    void keepsSixtyFourWindowsWhileTheApiIsDown() {
        DutySimulation simulation =
                new DutySimulation(7, Variant.CORRECT, false).setApiDown(true).run(70 * DutySimulation.WINDOW_MS);
        assertTrue(simulation.givenUp() >= 4, "given up: " + simulation.givenUp());
        assertTrue(simulation.committedCount() <= 64, "in the store: " + simulation.committedCount());
    }

    @Test
    void noticesATokenThatIsUsedTwice() {
        assertNoticed(Variant.TOKEN_FROM_KEY_VERSION, "used by");
    }

    @Test
    void noticesAChangedReport() {
        assertNoticed(Variant.COMMIT_WITHOUT_CHECK, "accepted as");
    }

    @Test
    void noticesAlternatingLeadership() {
        assertNoticed(Variant.NO_QUIET_TIME, "and back within");
    }
}
