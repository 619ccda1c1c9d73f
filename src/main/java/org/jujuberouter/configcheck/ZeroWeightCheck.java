package org.jujuberouter.configcheck;

import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Finds services that get no calls of a route because their weight is zero. */
final class ZeroWeightCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        for (Located<Route> route : configuration.routes()) {
            List<Route.WeightedService> targets = route.value().targets();
            // Another check reports weights that sum to zero.
            if (targets.stream().allMatch(t -> t.weight() == 0)) {
                continue;
            }
            for (int i = 0; i < targets.size(); i++) {
                if (targets.get(i).weight() == 0) {
                    findings.accept(Finding.warning(
                            route.location().path(ConfigurationField.TARGETS, i),
                            targets.get(i).service().value(),
                            "a weight above 0",
                            "the service gets no calls of the route, because its weight is 0"));
                }
            }
        }
    }
}
