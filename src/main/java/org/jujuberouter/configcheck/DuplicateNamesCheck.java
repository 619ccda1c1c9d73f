package org.jujuberouter.configcheck;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Finds routes, services and customers that share a name with an earlier entry of their kind. */
final class DuplicateNamesCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Map<String, String> routes = new HashMap<>();
        configuration.routes().forEach(r -> add(routes, "route", r.value().name(), r.location(), findings));
        Map<String, String> services = new HashMap<>();
        configuration
                .services()
                .forEach(s -> add(services, "service", s.value().name().value(), s.location(), findings));
        Map<String, String> customers = new HashMap<>();
        configuration
                .customers()
                .forEach(c ->
                        add(customers, "customer", c.value().customer().id().value(), c.location(), findings));
    }

    private static void add(
            Map<String, String> paths, String kind, String name, Location location, Consumer<Finding> findings) {
        // The decoder reports an entry without a name.
        if (name.isBlank()) {
            return;
        }
        String earlier = paths.putIfAbsent(name, location.path());
        if (earlier != null) {
            findings.accept(Finding.error(
                    location.path(ConfigurationField.NAME),
                    name,
                    "unique",
                    "another " + kind + " at " + earlier + " has the same name"));
        }
    }
}
