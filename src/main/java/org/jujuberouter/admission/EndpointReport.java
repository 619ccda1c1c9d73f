package org.jujuberouter.admission;

/**
 * What an endpoint says about itself.
 *
 * @param boot increases with every start of the endpoint; 0 when it does not tell
 * @param cold whether it is still in cold start
 * @param leaving whether it is about to stop
 * @param warmCapacity what it can hold when warm
 * @param coldCapacity what it can hold in cold start
 */
public record EndpointReport(long boot, boolean cold, boolean leaving, Capacity warmCapacity, Capacity coldCapacity) {}
