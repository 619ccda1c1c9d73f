package org.jujuberouter.configcheck;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.id.ServiceName;

/**
 * The routes that can match calls. The longest prefix matches, so a route never matches only if an earlier one has the
 * same host and the same prefix.
 */
final class EffectiveRoutes {
    /** Host and prefix, which identify the calls of a route. */
    record Key(String host, String prefix) {
        static Key of(Route route) {
            return new Key(route.host(), route.prefix());
        }

        @Override
        public String toString() {
            return host + prefix;
        }
    }

    private final Map<Key, Located<Route>> byKey = new LinkedHashMap<>();

    private EffectiveRoutes() {}

    static EffectiveRoutes of(CheckedConfiguration configuration) {
        EffectiveRoutes effective = new EffectiveRoutes();
        configuration.routes().forEach(r -> effective.byKey.putIfAbsent(Key.of(r.value()), r));
        return effective;
    }

    Map<Key, Located<Route>> byKey() {
        return byKey;
    }

    /** Returns the services to which calls can be sent. */
    Set<ServiceName> reachedServices() {
        Set<ServiceName> reached = new HashSet<>();
        for (Located<Route> route : byKey.values()) {
            Collection<Route.WeightedService> targets = route.value().targets();
            boolean allZero = targets.stream().allMatch(t -> t.weight() == 0);
            targets.stream().filter(t -> allZero || t.weight() != 0).forEach(t -> reached.add(t.service()));
        }
        return reached;
    }
}
