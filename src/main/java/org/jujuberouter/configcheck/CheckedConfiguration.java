package org.jujuberouter.configcheck;

import java.util.List;
import java.util.Set;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.ServiceName;

/**
 * A configuration as an instance decodes it, with the place of each entry.
 *
 * @param version the version; 0 if it cannot be read
 * @param root the place of the document
 * @param routes the routes; one that cannot be read has no target
 * @param services the services that can be read
 * @param declaredServices the names of all services, also of those that cannot be read
 * @param customers the customers that can be read
 * @param keysRequired whether calls need an API key
 * @param limits the limits on requests
 * @param complete whether every entry and the list of routes can be read
 * @param findings what the decoder found
 */
public record CheckedConfiguration(
        long version,
        Location root,
        List<Located<Route>> routes,
        List<Located<ServiceSpec>> services,
        Set<ServiceName> declaredServices,
        List<Located<DeclaredCustomer>> customers,
        boolean keysRequired,
        Located<CallerLimits> limits,
        boolean complete,
        List<Finding> findings) {
    /** Copies the collections. */
    public CheckedConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        declaredServices = Set.copyOf(declaredServices);
        customers = List.copyOf(customers);
        findings = List.copyOf(findings);
    }
}
