package org.jujuberouter.catalog;

import java.util.Optional;
import org.jujuberouter.id.ServiceName;

/**
 * The operator's declaration of a service.
 *
 * @param name the name of the service
 * @param healthPath path of the endpoints' health check
 * @param maxConnections maximum number of connections that an endpoint accepts in total
 * @param coldCallsPerSecond calls per second that an endpoint can serve during its cold start; 0 if it has
 *     no cold start
 * @param engine cost model of its inference engines; empty for a plain service
 * @param scaling bounds for the number of engines; empty if the number is fixed
 */
public record ServiceSpec(
        ServiceName name,
        String healthPath,
        int maxConnections,
        double coldCallsPerSecond,
        Optional<EngineCostModel> engine,
        Optional<ScalingSpec> scaling) {
    /** Creates the declaration of a service with a fixed number of endpoints. */
    public ServiceSpec(
            ServiceName name,
            String healthPath,
            int maxConnections,
            double coldCallsPerSecond,
            Optional<EngineCostModel> engine) {
        this(name, healthPath, maxConnections, coldCallsPerSecond, engine, Optional.empty());
    }
}
