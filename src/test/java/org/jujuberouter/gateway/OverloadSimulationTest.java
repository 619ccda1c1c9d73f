package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against instances that make calls late without notice, and against a fleet that withdraws or flaps. */
class OverloadSimulationTest {
    /** Instances log each change; the reference keeps the level of the logger. */
    private static final Logger LOG = Logger.getLogger("org.jujuberouter.gateway");

    private static final int MINUTES_5_MS = 300_000;

    @BeforeAll
    static void logNoChanges() {
        LOG.setLevel(Level.WARNING);
    }

    @AfterAll
    static void logChanges() {
        LOG.setLevel(null);
    }

    private static OverloadSimulation.Instance slowInstance(OverloadSimulation simulation) {
        OverloadSimulation.Instance slow = simulation.instance(4);
        slow.slowness = 4;
        return slow;
    }

    /** An instance with a quarter of the others' speed gets as many connections as they do. */
    @Test
    void aSlowInstanceServesFewerCallsLateAndIsUnreadyAlone() {
        OverloadSimulation without = new OverloadSimulation(1, 18, 3);
        without.enabled = false;
        OverloadSimulation.Instance slowWithout = slowInstance(without);
        without.run(MINUTES_5_MS);
        OverloadSimulation simulation = new OverloadSimulation(1, 18, 3);
        OverloadSimulation.Instance slow = slowInstance(simulation);
        simulation.run(MINUTES_5_MS);
        assertEquals("", simulation.violation);
        assertTrue(slow.unreadyMs > 0 && slow.unreadyMs <= MINUTES_5_MS / 20, "unready for " + slow.unreadyMs + " ms");
        assertTrue(slow.rejected > 0);
        assertTrue(slow.lateCalls < slowWithout.lateCalls, slow.lateCalls + " late of " + slowWithout.lateCalls);
        assertTrue(simulation.instances.values().stream().allMatch(i -> i == slow || i.unreadyMs == 0));
        slow.slowness = 1;
        simulation.run(5_000);
        assertTrue(slow.isReady(), "ready again when the lag is gone");
        int rejected = slow.rejected;
        simulation.run(60_000);
        assertEquals(rejected, slow.rejected);
    }

    /** With a stale list, an instance can't know whether it is the last one of its domain. */
    @Test
    void nobodyIsUnreadyWhileTheListIsStale() {
        OverloadSimulation simulation = new OverloadSimulation(2, 18, 3);
        simulation.viewsAreCurrent = false;
        slowInstance(simulation);
        simulation.run(MINUTES_5_MS);
        assertEquals(0, simulation.maxUnready);
    }

    /** The callers of a domain with one instance have nowhere else to go. */
    @Test
    void theLastInstanceOfADomainRemainsReady() {
        OverloadSimulation simulation = new OverloadSimulation(5, 18, 18);
        slowInstance(simulation);
        simulation.run(MINUTES_5_MS);
        assertEquals(0, simulation.maxUnready);
    }

    /** A burst that all instances notice must not take more than a sixth of them out. */
    @Test
    void aBurstThatSlowsAllInstancesTakesOutASixthAtMost() {
        for (int count : new int[] {5, 8, 18, 30}) {
            OverloadSimulation simulation = new OverloadSimulation(count, count, 3);
            simulation.run(110_000);
            simulation.callsPerS = 200;
            simulation.run(20_000);
            simulation.callsPerS = 50;
            simulation.run(10_000);
            assertEquals("", simulation.violation);
            assertTrue(simulation.maxUnready <= count / 6, simulation.maxUnready + " unready of " + count);
            assertTrue(count < 6 || simulation.maxUnready > 0, "nobody unready of " + count);
            assertTrue(
                    simulation.instances.values().stream().allMatch(OverloadSimulation.Instance::isReady),
                    "ready after the burst");
        }
    }

    /** Lag that comes and goes must not make instances come and go. */
    @Test
    void lagThatComesAndGoesEverySecondChangesNothing() {
        OverloadSimulation simulation = new OverloadSimulation(3, 18, 3);
        simulation.run(100_000);
        for (int i = 0; i < 60; i++) {
            simulation.callsPerS = i % 2 == 0 ? 120 : 20;
            simulation.run(1_000);
        }
        assertEquals(0, simulation.maxUnready);
    }

    @Test
    void aFreezeOfSecondsIsNotLag() {
        OverloadSimulation simulation = new OverloadSimulation(4, 18, 3);
        simulation.callsPerS = 30;
        simulation.run(100_000);
        OverloadSimulation.Instance frozen = simulation.instance(7);
        for (int seconds = 1; seconds <= 8; seconds++) {
            frozen.frozen = true;
            simulation.run(seconds * 1_000);
            frozen.frozen = false;
            simulation.run(10_000);
        }
        assertEquals(0, simulation.maxUnready);
    }

    /** Lost and late messages, restarts of the granting instance and changing groups, while all instances lag. */
    private static OverloadSimulation troubled(int seed, boolean grantsCountFromArrival) {
        Random random = new Random(seed);
        // The two groups of 24 instances become one whenever an instance is missing.
        int count = seed % 2 == 0 ? 24 : 8 + random.nextInt(24);
        OverloadSimulation simulation = new OverloadSimulation(seed, count, 1 + random.nextInt(4));
        simulation.grantsCountFromArrival = grantsCountFromArrival;
        simulation.lossRate = random.nextDouble() * 0.3;
        simulation.maxMessageMs = 1 + random.nextInt(3_000);
        simulation.run(65_000);
        simulation.callsPerS = 250;
        for (int i = 0; i < 12; i++) {
            OverloadSimulation.Instance some = simulation.instance(random.nextInt(count));
            boolean granting = random.nextBoolean() && simulation.lastAsked != null;
            OverloadSimulation.Instance ended = granting ? simulation.lastAsked : some;
            if (ended.alive && random.nextInt(3) == 0) {
                ended.restart(2_000 + random.nextInt(8_000));
            }
            simulation.run(5_000);
        }
        return simulation;
    }

    @Test
    void neverMoreThanASixthIsUnreadyInTrouble() {
        int unready = 0;
        for (int seed = 0; seed < 200; seed++) {
            OverloadSimulation simulation = troubled(seed, false);
            assertEquals("", simulation.violation, "seed " + seed);
            unready += simulation.maxUnready;
        }
        assertTrue(unready >= 100, "instances unready at once, summed over the seeds: " + unready);
    }

    /** The check notices a protocol in which a late grant outlasts the record of it. */
    @Test
    void grantsThatCountFromTheirArrivalExceedTheBound() {
        assertFalse(IntStream.range(0, 200)
                .allMatch(seed -> troubled(seed, true).violation.isEmpty()));
    }
}
