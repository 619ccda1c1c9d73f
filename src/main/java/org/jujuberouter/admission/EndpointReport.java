package org.jujuberouter.admission;

/**
 * The state that an endpoint reports.
 *
 * @param boot a number that increases with every start of the endpoint; 0 if it is not reported
 * @param cold whether it is still in cold start
 * @param leaving whether it is shutting down
 * @param warmCapacity its capacity after the cold start
 * @param coldCapacity its capacity during the cold start
 */
public record EndpointReport(long boot, boolean cold, boolean leaving, Capacity warmCapacity, Capacity coldCapacity) {}
