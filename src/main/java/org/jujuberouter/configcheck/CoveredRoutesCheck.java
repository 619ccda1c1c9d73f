package org.jujuberouter.configcheck;

import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Finds routes that no call matches. */
final class CoveredRoutesCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Map<EffectiveRoutes.Key, Located<Route>> effective =
                EffectiveRoutes.of(configuration).byKey();
        for (Located<Route> located : configuration.routes()) {
            Route route = located.value();
            Location location = located.location();
            Located<Route> matching = effective.get(EffectiveRoutes.Key.of(route));
            if (matching.location() != location) {
                findings.accept(Finding.warning(
                        location.path(ConfigurationField.PREFIX),
                        route.prefix(),
                        "",
                        "the route never matches, because the one at "
                                + matching.location().path() + " has the same host and prefix"));
            }
            if (route.host().contains(":")) {
                findings.accept(Finding.warning(
                        location.path(ConfigurationField.HOST),
                        route.host(),
                        "a host without a port",
                        "the route never matches, because the port of a call's host is removed"));
            }
            if (route.prefix().contains("?")) {
                findings.accept(Finding.warning(
                        location.path(ConfigurationField.PREFIX),
                        route.prefix(),
                        "a path without a query",
                        "the route never matches, because the query of a call is removed"));
            }
        }
    }
}
