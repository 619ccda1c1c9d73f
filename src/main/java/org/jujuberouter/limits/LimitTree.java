package org.jujuberouter.limits;

import java.util.Map;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/**
 * The limits of all levels. A customer at a service inherits from the customer, the customer from the service, and the
 * service from the root.
 *
 * @param root limits for all
 * @param services limits of services
 * @param customers limits of customers
 * @param exact limits of a customer at a service
 */
public record LimitTree(
        Limits root,
        Map<ServiceName, Limits> services,
        Map<CustomerId, Limits> customers,
        Map<LimitKey, Limits> exact) {
    /** Copies the maps. */
    public LimitTree {
        services = Map.copyOf(services);
        customers = Map.copyOf(customers);
        exact = Map.copyOf(exact);
    }

    /** Returns a tree in which all customers have the same limits. */
    public static LimitTree ofRoot(Limits root) {
        return new LimitTree(root, Map.of(), Map.of(), Map.of());
    }

    /** Returns the limits of a customer at a service. */
    public Limits resolve(LimitKey key) {
        Limits service =
                services.getOrDefault(key.service(), Limits.inherited()).over(root);
        Limits customer =
                customers.getOrDefault(key.customer(), Limits.inherited()).over(service);
        return exact.getOrDefault(key, Limits.inherited()).over(customer);
    }
}
