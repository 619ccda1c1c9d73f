package org.jujuberouter.gateway;

import java.util.Optional;
import org.jujuberouter.catalog.ApiKeys;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.ServiceName;

/** Whether the configuration allows a call. */
sealed interface Admission {
    /** Time after which the configuration may have been corrected or read again, or an endpoint may have room. */
    long RETRY_AFTER_MS = 500;

    /** The call may be placed at an endpoint of the service. */
    record Admitted(Route route, Optional<Customer> customer, ServiceSpec service) implements Admission {}

    /**
     * The call is refused.
     *
     * @param retryAfterMs time after which the caller may try again, in milliseconds; negative if it should not
     */
    record Rejected(int status, String reason, long retryAfterMs) implements Admission {}

    /** Resolves route, customer and service of a call. */
    static Admission of(Catalog catalog, RequestHead call) {
        Optional<Route> found = catalog.route(call.host(), call.path());
        if (found.isEmpty()) {
            return new Rejected(404, "no route for the host and path", -1);
        }
        Route route = found.get();
        ApiKeys keys = catalog.apiKeys();
        Optional<Customer> customer = Optional.empty();
        if (keys.isRequired() && !route.publicAccess()) {
            customer = keys.customer(call.apiKey());
            if (customer.isEmpty()) {
                return new Rejected(401, "the API key is unknown", -1);
            }
        } else if (keys.isWithdrawn(call.apiKey()) && !route.publicAccess()) {
            return new Rejected(401, "the API key was withdrawn", -1);
        }
        if (!route.hasService()) {
            return new Rejected(503, "the route " + route.name() + " cannot be read", RETRY_AFTER_MS);
        }
        ServiceName name = route.serviceFor(call.id().hashCode());
        Optional<ServiceSpec> service = catalog.service(name);
        if (service.isEmpty()) {
            return new Rejected(503, "the service " + name + " is not declared", RETRY_AFTER_MS);
        }
        return new Admitted(route, customer, service.get());
    }
}
