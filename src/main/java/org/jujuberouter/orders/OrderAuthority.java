package org.jujuberouter.orders;

import java.util.OptionalLong;
import org.jujuberouter.id.EndpointId;

/** Determines for which endpoints this instance may send orders. */
@FunctionalInterface
public interface OrderAuthority {
    /**
     * Returns the fencing number under which this instance exclusively owns the endpoint.
     *
     * <p>Empty if it is not the owner, its lease has lapsed, or a predecessor is not cleared yet: a bound can be
     * divided between two owners, an order cannot.
     */
    OptionalLong exclusiveFence(EndpointId endpoint);
}
