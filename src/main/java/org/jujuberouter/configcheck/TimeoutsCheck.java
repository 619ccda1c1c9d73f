package org.jujuberouter.configcheck;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Finds timeouts that end calls before their objectives have passed. */
final class TimeoutsCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        DecodingErrors errors = DecodingErrors.of(configuration);
        for (Located<Route> located : configuration.routes()) {
            Route route = located.value();
            if (errors.contains(located)) {
                continue;
            }
            if (route.timeoutMs() < route.objectiveMs()) {
                findings.accept(Finding.warning(
                        located.location().path(ConfigurationField.TIMEOUT),
                        route.timeoutMs() + " ms",
                        "at least the objective, " + route.objectiveMs() + " ms",
                        "calls are cancelled while they can still be on time"));
            }
            if (route.gapObjectiveMs() > route.timeoutMs()) {
                findings.accept(Finding.warning(
                        located.location().path(ConfigurationField.GAP_OBJECTIVE),
                        route.gapObjectiveMs() + " ms",
                        "at most the timeout, " + route.timeoutMs() + " ms",
                        "the call ends before a gap of this length"));
            }
        }
    }
}
