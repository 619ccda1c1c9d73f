package org.jujuberouter.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.ServiceName;

/**
 * One version of the operator's configuration, indexed for lookups.
 *
 * <p>The routes of a host are sorted by descending prefix length, so the first match is the longest.
 */
public final class Catalog {
    private final long version;
    private final Map<String, List<Route>> routes = new HashMap<>();
    private final Map<ServiceName, ServiceSpec> services = new HashMap<>();
    private final Map<String, Customer> customers;
    private final CallerLimits limits;

    private Catalog(long version, Map<String, Customer> customers, CallerLimits limits) {
        this.version = version;
        this.customers = Map.copyOf(customers);
        this.limits = limits;
    }

    /** Returns a catalog with the given content; the customers are keyed by API key. */
    public static Catalog of(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            Map<String, Customer> customers,
            CallerLimits limits) {
        Catalog catalog = new Catalog(version, customers, limits);
        for (Route route : routes) {
            catalog.routes.computeIfAbsent(route.host(), _ -> new ArrayList<>()).add(route);
        }
        catalog.routes
                .values()
                .forEach(l -> l.sort(
                        Comparator.comparingInt((Route route) -> -route.prefix().length())));
        services.forEach(s -> catalog.services.put(s.name(), s));
        return catalog;
    }

    /** Returns the version number that the operator assigned. */
    public long version() {
        return version;
    }

    public CallerLimits limits() {
        return limits;
    }

    /** Returns the route of the host whose prefix is the longest match for the path. */
    public Optional<Route> route(String host, String path) {
        for (Route r : routes.getOrDefault(host, List.of())) {
            if (path.startsWith(r.prefix())) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Returns the customer to which the API key belongs. */
    public Optional<Customer> customer(String apiKey) {
        return Optional.ofNullable(customers.get(apiKey));
    }

    /** Returns whether calls need an API key, unless their route is public. */
    public boolean requiresApiKeys() {
        return !customers.isEmpty();
    }

    /** Returns the declaration of the service. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
