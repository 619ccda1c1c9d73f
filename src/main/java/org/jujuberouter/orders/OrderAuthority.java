package org.jujuberouter.orders;

import java.util.OptionalLong;
import org.jujuberouter.id.EndpointId;

/** Tells for which endpoints this instance may give orders. */
@FunctionalInterface
public interface OrderAuthority {
    /**
     * Returns the fencing number under which this instance alone owns the endpoint.
     *
     * <p>Empty when it is not the owner, its lease has lapsed, or an unreleased predecessor is not cleared: a share of a
     * bound can be divided between two owners, an order cannot.
     */
    OptionalLong exclusiveFence(EndpointId endpoint);
}
