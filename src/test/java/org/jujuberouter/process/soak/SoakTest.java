package org.jujuberouter.process.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against violations of the guarantees to callers when failures of processes, connections, store and endpoints
 * overlap.
 *
 * <p>Other seeds: {@code mvn package surefire:test@process-tests -Dtest=SoakTest -Dsoak.seeds=1-50 -Dsoak.seconds=20}.
 */
@Tag("process")
class SoakTest {
    /** The seeds that CI runs. */
    private static final String DEFAULT_SEEDS = "7-8";

    private static final int DEFAULT_SECONDS = 12;

    @TempDir
    private Path directory;

    @Test
    void keepsItsGuaranteesWhileFaultsOverlap() throws Exception {
        String[] seeds = System.getProperty("soak.seeds", DEFAULT_SEEDS).split("-");
        int seconds = Integer.getInteger("soak.seconds", DEFAULT_SECONDS);
        List<String> violations = new ArrayList<>();
        for (long seed = Long.parseLong(seeds[0]); seed <= Long.parseLong(seeds[seeds.length - 1]); seed++) {
            for (String violation : SoakRun.violations(seed, seconds, directory)) {
                violations.add("seed " + seed + ": " + violation);
            }
        }
        assertEquals(List.of(), violations);
    }
}
