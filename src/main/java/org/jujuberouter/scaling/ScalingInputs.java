package org.jujuberouter.scaling;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.duty.InstanceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * The leader's view at the time of a decision.
 *
 * @param services the declared services; those without cost model or bounds for scaling are ignored
 * @param engines the engines of each service by failure domain; a domain without engines has an entry if engines may
 *     be ordered there
 * @param takenOut failure domains that are taken out of service
 * @param instances number of listed instances, whether or not they have reported
 * @param reports the last report of each listed instance
 */
public record ScalingInputs(
        Collection<ServiceSpec> services,
        Map<ServiceName, Map<FailureDomain, EngineCount>> engines,
        Set<FailureDomain> takenOut,
        int instances,
        List<InstanceDemand> reports) {}
