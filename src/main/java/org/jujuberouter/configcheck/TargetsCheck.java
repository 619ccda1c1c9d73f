package org.jujuberouter.configcheck;

import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Finds routes to services that are not declared, and routes whose weights sum to zero. */
final class TargetsCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        for (Located<Route> route : configuration.routes()) {
            List<Route.WeightedService> targets = route.value().targets();
            double sum = 0;
            for (int i = 0; i < targets.size(); i++) {
                Route.WeightedService target = targets.get(i);
                sum += target.weight();
                if (!configuration.declaredServices().contains(target.service())) {
                    findings.accept(Finding.error(
                            route.location().path(ConfigurationField.TARGETS, i),
                            target.service().value(),
                            "a declared service",
                            "the service does not exist"));
                }
            }
            if (route.value().hasService() && sum == 0) {
                findings.accept(Finding.error(
                        route.location().path(ConfigurationField.TARGETS),
                        "0",
                        "above 0",
                        "the weights sum to zero, so the last service gets all calls"));
            }
        }
    }
}
