package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against gauges of a former leader that contradict those of the current one. */
class ScalingTelemetryTest {
    @Test
    void showsTheLastCountsUntilLeadershipIsLostAndAgainInTheNextTerm() {
        GatewayMetrics metrics = new GatewayMetrics();
        ScalingTelemetry telemetry = ScalingTelemetry.of(GatewayLog.create(), metrics);
        for (int term = 1; term <= 2; term++) {
            telemetry.engines(ServiceName.of("s"), FailureDomain.of("east"), 3, 2);
            telemetry.engines(ServiceName.of("s"), FailureDomain.of("east"), 6, 5);
            String text = metrics.render();
            assertTrue(text.contains("jujuberouter_engines_wanted{service=\"s\",domain=\"east\"} 6\n"), text);
            assertTrue(text.contains("jujuberouter_engines_registered{service=\"s\",domain=\"east\"} 5\n"), text);
            telemetry.leadershipLost();
            assertEquals("", metrics.render());
        }
    }
}
