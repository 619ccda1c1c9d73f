package org.jujuberouter.capacity;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class CapacityTestbedTest {
    /** Guards against counters that miss messages or attribute them to the wrong type. */
    @Test
    void countsHeartbeatsAndMemberListReads() throws Exception {
        try (CapacityTestbed testbed = CapacityTestbed.start(2, 3)) {
            testbed.setEndpointCount(4);
            CapacitySample sample = testbed.measure(Duration.ofSeconds(3));
            assertEquals(4, sample.ownedEndpoints());
            long heartbeats = sample.traffic().get("Heartbeat").framesOut();
            assertTrue(heartbeats >= 4 && heartbeats <= 8, "heartbeats sent by two instances in 3 s: " + heartbeats);
            assertEquals(0, sample.traffic().get("Unknown").framesOut());
            assertTrue(
                    sample.memberListBytes() >= 4L * testbed.memberListSize(),
                    "member list bytes read: " + sample.memberListBytes());
            assertTrue(sample.cpuSeconds() > 0);
        }
    }

    /** Guards against an elimination that confuses terms when it swaps rows for pivoting. */
    @Test
    void coefficientsFindsTheCoefficientsOfAnExactPlane() {
        List<double[]> rows =
                List.of(new double[] {0, 1, 2}, new double[] {1, 0, 1}, new double[] {2, 1, 0}, new double[] {3, 5, 1});
        double[] values =
                rows.stream().mapToDouble(r -> 2 * r[0] - r[1] + 3 * r[2]).toArray();
        double[] coefficients = LeastSquares.fit(rows, values);
        assertArrayEquals(new double[] {2, -1, 3}, coefficients, 1e-9);
        assertEquals(1, LeastSquares.rSquared(rows, values, coefficients), 1e-9);
    }
}
