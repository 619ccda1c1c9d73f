package org.jujuberouter.dispatch;

import java.util.Optional;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.id.CustomerId;

/**
 * What a call asks of the engines of its service, and on whose behalf.
 *
 * @param customer the customer; empty for calls of public routes, which share as one customer
 * @param priority priority of the call; 0 is the highest, {@link #UNKNOWN_PRIORITY} for a call that a peer has placed
 * @param workMs time of an engine that the call is expected to use, in milliseconds
 */
public record WorkClaim(Optional<CustomerId> customer, int priority, double workMs) {
    /** Priority of a call that a peer has placed; each instance divides what it places itself among the priorities. */
    public static final int UNKNOWN_PRIORITY = -1;

    /** Claim of a call whose customer and work are not known; it is never charged. */
    public static final WorkClaim NONE = new WorkClaim(Optional.empty(), 0, 0);

    /** Returns the claim of a call; the priority of the customer overrides that of the route. */
    static WorkClaim of(Optional<Customer> customer, Route route, double workMs) {
        int priority = customer.isPresent() ? customer.get().priority().orElse(route.priority()) : route.priority();
        return new WorkClaim(customer.map(Customer::id), Math.max(0, priority), workMs);
    }
}
