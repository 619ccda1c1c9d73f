package org.jujuberouter.routing;

import java.util.List;
import org.jujuberouter.id.EndpointId;

/** The result of routing. */
public sealed interface RouteResult {
    /**
     * Endpoints to ask in this order.
     *
     * @param endpoints at least one endpoint, the best first
     */
    record Candidates(List<EndpointId> endpoints) implements RouteResult {}

    /**
     * No endpoint of the variant could ever hold the request.
     *
     * @param needed tokens of prompt and answer
     * @param largest tokens that the largest endpoint holds
     */
    record TooLarge(long needed, long largest) implements RouteResult {}

    /**
     * The request would fit, but nothing may take it now.
     *
     * @param reason what stands in the way
     */
    record NoneAvailable(String reason) implements RouteResult {}

    /**
     * The service does not offer this.
     *
     * @param variant what was asked for
     */
    record UnknownModel(ServiceVariant variant) implements RouteResult {}
}
