package org.jujuberouter.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jujuberouter.experiment.Workload.TrafficMix;
import org.junit.jupiter.api.Test;

/** Guards against a router that performs worse than a baseline policy, and against nondeterministic simulations. */
class RoutingExperimentTest {
    private static final int REQUESTS = 2_000;

    @Test
    void hasHigherCachedShareAndLowerFirstTokenLatencyThanBaselines() {
        List<RoutingExperiment.PolicyResult> rows =
                RoutingExperiment.of(REQUESTS).run(TrafficMix.PAMPLEMOUSSES, 3);
        SimulationMetrics router = rows.getLast().metrics();
        for (RoutingExperiment.PolicyResult row : rows.subList(0, 3)) {
            assertTrue(router.cachedShare() > row.metrics().cachedShare(), row.policy());
            assertTrue(router.firstTokenMillis(0.95) < row.metrics().firstTokenMillis(0.95), row.policy());
        }
        assertTrue(
                router.shareWithinTarget() >= 0.95,
                "share with first token within 1.2 s: " + router.shareWithinTarget());
    }

    @Test
    void producesIdenticalResultsForTheSameSeed() {
        FleetConfig config = new FleetConfig(15, true, true, true, "");
        double[] results = new double[2];
        for (int i = 0; i < 2; i++) {
            SimulationMetrics metrics =
                    FleetSimulator.run(config, 5, Workload.generate(TrafficMix.PAMPLEMOUSSES, 5, REQUESTS));
            results[i] = metrics.firstTokenMillis(0.99) + metrics.cachedShare();
        }
        assertEquals(results[0], results[1]);
    }
}
