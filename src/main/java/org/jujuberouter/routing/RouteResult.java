package org.jujuberouter.routing;

import java.util.List;
import org.jujuberouter.id.EndpointId;

/** The outcome of routing a request. */
public sealed interface RouteResult {
    /**
     * The endpoints to try, in order.
     *
     * @param endpoints at least one endpoint, the best first
     */
    record Candidates(List<EndpointId> endpoints) implements RouteResult {}

    /**
     * The request exceeds the memory of every endpoint that serves the variant.
     *
     * @param needed tokens of the prompt and the longest response
     * @param largest tokens that the largest endpoint holds
     */
    record TooLarge(long needed, long largest) implements RouteResult {}

    /**
     * The request would fit, but no endpoint can take it now.
     *
     * @param reason why none can
     */
    record NoneAvailable(String reason) implements RouteResult {}

    /**
     * The service does not offer the variant.
     *
     * @param variant the requested variant
     */
    record UnknownModel(ServiceVariant variant) implements RouteResult {}
}
