package org.jujuberouter.duty;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * The demand for a service that one instance has seen since it started.
 *
 * @param service the service
 * @param domain the failure domain of the instance
 * @param prefillMs time to prefill the prompts of all calls that arrived, by the cost model, in milliseconds
 * @param slotMs time for which all calls that arrived hold a slot, by the cost model, in milliseconds
 * @param waiting number of calls that wait for an endpoint now
 * @param refused number of calls that were refused for lack of capacity
 */
public record ServiceDemand(
        ServiceName service, FailureDomain domain, double prefillMs, double slotMs, int waiting, long refused) {}
