package org.jujuberouter.routing;

import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;

/**
 * The lasting facts about an endpoint.
 *
 * @param id the endpoint
 * @param domain its failure domain
 * @param placements what it serves
 * @param kvTokens its memory for requests in tokens; {@link Long#MAX_VALUE} for a plain service
 */
public record EndpointSpec(EndpointId id, FailureDomain domain, Set<Placement> placements, long kvTokens) {
    /** Copies the placements. */
    public EndpointSpec {
        placements = Set.copyOf(placements);
    }
}
