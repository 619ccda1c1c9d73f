package org.jujuberouter.limits;

import java.util.Map;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/**
 * The limits at all levels. A customer of a service inherits from the customer, the customer from the service, and the
 * service from the root.
 *
 * @param root the limits for all
 * @param services the limits by service
 * @param customers the limits by customer
 * @param exact the limits by customer and service
 */
public record LimitTree(
        Limits root,
        Map<ServiceName, Limits> services,
        Map<CustomerId, Limits> customers,
        Map<LimitKey, Limits> exact) {
    /** Makes defensive copies. */
    public LimitTree {
        services = Map.copyOf(services);
        customers = Map.copyOf(customers);
        exact = Map.copyOf(exact);
    }

    /** Returns a tree in which all customers have the same limits. */
    public static LimitTree ofRoot(Limits root) {
        return new LimitTree(root, Map.of(), Map.of(), Map.of());
    }

    /** Returns the limits of a customer of a service. */
    public Limits resolve(LimitKey key) {
        Limits service =
                services.getOrDefault(key.service(), Limits.inherited()).over(root);
        Limits customer =
                customers.getOrDefault(key.customer(), Limits.inherited()).over(service);
        return exact.getOrDefault(key, Limits.inherited()).over(customer);
    }
}
