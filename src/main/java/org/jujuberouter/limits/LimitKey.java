package org.jujuberouter.limits;

import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/**
 * What a limit applies to.
 *
 * @param customer the customer
 * @param service the service
 */
public record LimitKey(CustomerId customer, ServiceName service) {
    /** Returns the key of a customer at a service. */
    public static LimitKey of(CustomerId customer, ServiceName service) {
        return new LimitKey(customer, service);
    }
}
