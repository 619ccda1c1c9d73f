package org.jujuberouter.limits;

import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/**
 * The scope to which a limit applies.
 *
 * @param customer the customer
 * @param service the service
 */
public record LimitKey(CustomerId customer, ServiceName service) {
    /** Returns the key of a customer of a service. */
    public static LimitKey of(CustomerId customer, ServiceName service) {
        return new LimitKey(customer, service);
    }
}
