package org.jujuberouter.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards against restarts and late reports that look like a burst or a decline. */
class DemandRatesTest {
    private static final int SLOTS = 8;
    private static final long KEPT_MS = 33_000;
    private static final long WINDOW_MS = 4_000;

    private final DemandRates rates = new DemandRates();

    /** Adds a report of an instance that has kept a quarter of an engine busy since it started. */
    private void report(String instance, long atMs, long upMs, long refused) {
        ServiceDemand demand = new ServiceDemand(
                ScalingSite.SERVICE, ScalingSite.DOMAINS.getFirst(), upMs / 8.0, upMs / 8.0 * SLOTS, 2, refused);
        rates.add(InstanceId.of(instance), demand, atMs, SLOTS, KEPT_MS);
    }

    @Test
    void aCounterThatFallsStartsAnew() {
        for (long t = 1_000; t <= 8_000; t += 1_000) {
            report("a", t, t + 90_000, 7);
        }
        report("a", 9_000, 1_000, 0);
        report("a", 10_000, 2_000, 0);
        assertEquals(0.25, rates.load(WINDOW_MS), 1e-9);
        assertEquals(0.25, rates.load(30_000), 1e-9);
        assertFalse(rates.refusedLately());
        report("a", 11_000, 3_000, 1);
        assertTrue(rates.refusedLately());
    }

    @Test
    void lateAndRepeatedReportsDoNotChangeTheLoad() {
        for (long t = 1_000; t <= 6_000; t += 1_000) {
            report("a", t, t, 0);
            report("b", t + 300, t + 300, 0);
        }
        report("a", 12_000, 12_000, 0);
        report("a", 12_000, 12_000, 0);
        report("a", 11_000, 11_000, 0);
        assertEquals(0.5, rates.load(WINDOW_MS), 1e-9);
        assertEquals(4, rates.waiting());
    }

    @Test
    void aSilentInstanceCountsUntilItsCallersHaveMoved() {
        report("a", 1_000, 1_000, 0);
        report("a", 2_000, 2_000, 0);
        rates.expire(12_000);
        assertEquals(0.25, rates.load(WINDOW_MS), 1e-9);
        rates.expire(12_001);
        assertEquals(0, rates.load(WINDOW_MS));
    }
}
