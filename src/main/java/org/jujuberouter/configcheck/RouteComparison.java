package org.jujuberouter.configcheck;

import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Lists the routes that are added, removed and changed; host and prefix identify a route. */
final class RouteComparison implements Check {
    private final CheckedConfiguration inForce;

    RouteComparison(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Map<EffectiveRoutes.Key, Located<Route>> before =
                EffectiveRoutes.of(inForce).byKey();
        Map<EffectiveRoutes.Key, Located<Route>> after =
                EffectiveRoutes.of(configuration).byKey();
        after.forEach((key, route) -> {
            Located<Route> old = before.get(key);
            if (old == null) {
                findings.accept(Finding.note(route.location().path(), key.toString(), "route added"));
            } else if (route.value().hasService() && !old.value().equals(route.value())) {
                findings.accept(Finding.note(
                        route.location().path(),
                        key.toString(),
                        "route changed: " + RecordDifference.of(old.value(), route.value())));
            }
        });
        before.forEach((key, route) -> {
            if (!after.containsKey(key)) {
                findings.accept(Finding.note(InForcePath.of(route.location().path()), key.toString(), "route removed"));
            }
        });
    }
}
