package org.jujuberouter.scaling;

import java.util.List;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.InstanceId;

/**
 * The last report of an instance.
 *
 * @param instance the instance
 * @param receivedAtMs time at which the leader received it, by the leader's ticker, in milliseconds
 * @param demands cumulative demand for each service
 */
public record DemandReport(InstanceId instance, long receivedAtMs, List<ServiceDemand> demands) {}
