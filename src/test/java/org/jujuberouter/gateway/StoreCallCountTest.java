package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against calls to the store, each of which is billed, that prove or receive nothing, and against changes that
 * take effect late because calls are saved. The comments state the calls per instance and second when two instances of
 * each group proved the view, batches took 0.6 s and each instance retried every 0.4 s.
 */
class StoreCallCountTest {
    private static final int INSTANCES = 58;
    private static final int GROUPS = 4;
    private static final long START_MS = 5_000;

    /** Bound on the time until a change takes effect. */
    private static final long BOUND_MS = 2_000;

    /** Answer time of a slow store. */
    private static final long SLOW_ANSWER_MS = 240;

    private static StoreCallSimulation startedFleet(long seed) {
        return startedFleet(seed, INSTANCES, GROUPS);
    }

    private static StoreCallSimulation startedFleet(long seed, int instances, int groups) {
        StoreCallSimulation fleet = new StoreCallSimulation(seed, instances, groups);
        fleet.run(START_MS);
        fleet.resetMeasures();
        return fleet;
    }

    private static void assertCalls(double limit, StoreCallSimulation fleet) {
        assertTrue(fleet.callsPerInstanceSecond() <= limit, fleet.toString());
    }

    private static void assertLag(long limitMs, StoreCallSimulation fleet) {
        assertTrue(fleet.maxLagMs <= limitMs, fleet.toString());
    }

    /** 0.36: in each group, both instances that may prove the view did. */
    @Test
    void oneInstanceOfAGroupProvesTheViewWhileNothingChanges() {
        StoreCallSimulation fleet = startedFleet(1);
        fleet.run(35_000);
        assertCalls(0.20, fleet);
        assertEquals(0, fleet.notCurrentMs);
    }

    /** 1.75: each of four changes a second ended the watches of all instances. */
    @Test
    void receivesStormsOfChangesInBatchesWithinTheBound() {
        StoreCallSimulation fleet = startedFleet(1);
        fleet.changes(START_MS, 35_000, 250, "config");
        fleet.run(36_000);
        assertCalls(0.95, fleet);
        assertLag(1_250, fleet);
        assertEquals(0, fleet.notCurrentMs);
    }

    /** 1.22; the answers of a slow store add to the delay of a batch. */
    @Test
    void receivesChangesOfASlowStoreWithinTheBound() {
        StoreCallSimulation fleet = startedFleet(1);
        fleet.answerMs = SLOW_ANSWER_MS;
        fleet.changes(START_MS, 35_000, 250, "config");
        fleet.run(36_000);
        assertCalls(0.80, fleet);
        assertLag(BOUND_MS, fleet);
        assertEquals(0, fleet.notCurrentMs);
    }

    /** Changes took up to 3.4 s, since the loss of an answer was noticed at the end of its watch. */
    @Test
    void receivesChangesWithinTheBoundWhenAnswersAreLost() {
        for (long seed = 1; seed <= 10; seed++) {
            StoreCallSimulation fleet = startedFleet(seed);
            fleet.lostAnswers = 0.02;
            fleet.changes(START_MS, 35_000, 770, "config");
            fleet.run(36_000);
            assertLag(BOUND_MS, fleet);
        }
    }

    /** As above with a slow store, whose answers take up to 0.72 s of the time; changes took up to 3.5 s. */
    @Test
    void receivesChangesSoonWhenAnswersOfASlowStoreAreLost() {
        for (long seed = 1; seed <= 10; seed++) {
            StoreCallSimulation fleet = startedFleet(seed);
            fleet.answerMs = SLOW_ANSWER_MS;
            fleet.lostAnswers = 0.02;
            fleet.changes(START_MS, 35_000, 770, "config");
            fleet.run(36_000);
            assertLag(BOUND_MS + 3 * SLOW_ANSWER_MS, fleet);
        }
    }

    /** 1.76, of which 1.24 were retries. Endpoints that left count as gone a time after the return of the store. */
    @Test
    void oneInstanceOfAGroupRetriesWhileTheStoreIsDownAndAllNoticeItsReturn() {
        for (long seed = 1; seed <= 5; seed++) {
            StoreCallSimulation fleet = startedFleet(seed);
            fleet.at(6_000, () -> fleet.down = true);
            fleet.at(16_000, () -> fleet.down = false);
            fleet.run(26_000);
            assertCalls(0.75, fleet);
            assertTrue(fleet.maxReturnMs <= 500, fleet.toString());
        }
    }

    /** 1.08; each instance that the store turned away tried every 0.4 s. */
    @Test
    void retriesSeldomWhileTheStoreTurnsAwaySomeInstancesOnly() {
        StoreCallSimulation fleet = startedFleet(1);
        for (int i = 0; i < INSTANCES; i += 5) {
            int index = i;
            fleet.at(6_000, () -> fleet.instances.get(index).setRefused(true));
            fleet.at(16_000, () -> fleet.instances.get(index).setRefused(false));
        }
        fleet.changes(6_000, 20_000, 1_000, "config");
        fleet.run(26_000);
        assertCalls(0.75, fleet);
        assertLag(BOUND_MS, fleet);
    }

    /** With a standby that waits for peers to report the store, the freeze of the first must not leave all waiting. */
    @Test
    void noticesTheReturnOfTheStoreWhileTheProvingInstancesAreFrozen() {
        for (long frozenAt = 10_000; frozenAt < 14_000; frozenAt += 1_000) {
            StoreCallSimulation fleet = startedFleet(1);
            fleet.at(6_000, () -> fleet.down = true);
            for (int i = 0; i < GROUPS; i++) {
                int index = i;
                fleet.at(frozenAt, () -> fleet.instances.get(index).pause(10_000));
            }
            fleet.at(frozenAt + 2_000, () -> fleet.down = false);
            fleet.run(frozenAt + 9_000);
            assertTrue(fleet.maxReturnMs <= 1_000, fleet.toString());
        }
    }

    /** Guards against a second candidate that does not take over, so that each instance proves its view by itself. */
    @Test
    void theSecondCandidateProvesTheViewWhileTheFirstIsFrozen() {
        StoreCallSimulation fleet = startedFleet(1);
        for (int i = 0; i < GROUPS; i++) {
            int index = i;
            fleet.at(6_000, () -> fleet.instances.get(index).pause(9_000));
        }
        fleet.run(15_000);
        assertCalls(0.35, fleet);
        assertEquals(0, fleet.notCurrentMs, fleet.toString());
    }

    /** 1.41 to 1.46. */
    @Test
    void needsAThirdFewerCallsOnADayWithManyFaults() {
        for (long seed = 1; seed <= 4; seed++) {
            StoreCallSimulation fleet = new StoreCallSimulation(seed, INSTANCES, GROUPS);
            fleet.scriptFaultyDay();
            fleet.run(87_000);
            assertCalls(1.0, fleet);
            assertTrue(fleet.maxReturnMs <= 2_000, fleet.toString());
        }
    }

    /** Small fleets make few calls, and changes reach them at once. */
    @Test
    void receivesChangesInASmallFleetAsBefore() {
        StoreCallSimulation fleet = startedFleet(1, 5, 1);
        fleet.changes(START_MS, 15_000, 900, "config");
        fleet.run(16_000);
        assertLag(600, fleet);
    }
}
