package org.jujuberouter.catalog;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
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
    private final ApiKeys apiKeys;
    private final CallerLimits limits;

    private Catalog(long version, ApiKeys apiKeys, CallerLimits limits) {
        this.version = version;
        this.apiKeys = apiKeys;
        this.limits = limits;
    }

    /** Returns a catalog with the given content. */
    public static Catalog of(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            ApiKeys apiKeys,
            CallerLimits limits) {
        Catalog catalog = new Catalog(version, apiKeys, limits);
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

    /** Returns this catalog with the keys of the catalog before it withdrawn, unless they are still there. */
    public Catalog succeeding(Catalog previous) {
        Catalog next = new Catalog(version, apiKeys.succeeding(previous.apiKeys), limits);
        next.routes.putAll(routes);
        next.services.putAll(services);
        return next;
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

    public ApiKeys apiKeys() {
        return apiKeys;
    }

    /** Returns the declarations of all services. */
    public Collection<ServiceSpec> services() {
        return Collections.unmodifiableCollection(services.values());
    }

    /** Returns the declaration of the service. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
