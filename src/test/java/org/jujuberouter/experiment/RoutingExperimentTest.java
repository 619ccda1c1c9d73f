package org.jujuberouter.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.jujuberouter.experiment.Workload.Mix;
import org.junit.jupiter.api.Test;

/** Guards against changes after which routing loses to a simpler policy, or figures no longer repeat. */
class RoutingExperimentTest {
    private static final int REQUESTS = 2_000;

    @Test
    void servesMoreFromCachesAndSoonerThanSimplerPolicies() {
        List<RoutingExperiment.Row> rows = RoutingExperiment.of(REQUESTS).run(Mix.PAMPLEMOUSSES, 3);
        Measurement router = rows.getLast().measurement();
        for (RoutingExperiment.Row row : rows.subList(0, 3)) {
            assertTrue(router.cachedPart() > row.measurement().cachedPart(), row.policy());
            assertTrue(router.firstTokenMillis(0.95) < row.measurement().firstTokenMillis(0.95), row.policy());
        }
        assertTrue(router.withinTarget() >= 0.95, "first token within 1.2 s for " + router.withinTarget());
    }

    @Test
    void repeatsExactlyForASeed() {
        FleetSetup setup = new FleetSetup(15, true, true, true, "");
        double[] seen = new double[2];
        for (int i = 0; i < 2; i++) {
            Measurement m = VirtualFleet.run(setup, 5, Workload.of(Mix.PAMPLEMOUSSES, 5, REQUESTS));
            seen[i] = m.firstTokenMillis(0.99) + m.cachedPart();
        }
        assertEquals(seen[0], seen[1]);
    }
}
