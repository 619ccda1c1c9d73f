package org.jujuberouter.catalog;

import java.util.Optional;
import org.jujuberouter.id.ServiceName;

/**
 * One service as the operator declared it.
 *
 * @param name the service
 * @param healthPath the path that tells the health of an endpoint
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldCallsPerSecond calls a second that an endpoint in cold start bears; 0 where it has no cold start
 * @param engine the model of its engines; empty for a plain service
 */
public record ServiceSpec(
        ServiceName name,
        String healthPath,
        int maxConnections,
        double coldCallsPerSecond,
        Optional<EngineCostModel> engine) {}
