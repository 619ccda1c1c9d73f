package org.jujuberouter.routing;

import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;

/**
 * The lasting facts about an endpoint.
 *
 * @param id the endpoint
 * @param domain its failure domain
 * @param variants what it serves
 * @param kvTokens its memory for requests in tokens; {@link Long#MAX_VALUE} for a plain service
 * @param prefillTokensPerSecond prompt tokens that it processes in a second
 */
public record EndpointSpec(
        EndpointId id,
        FailureDomain domain,
        Set<ServiceVariant> variants,
        long kvTokens,
        double prefillTokensPerSecond) {
    /** Rate of a large engine whose settings do not say otherwise. */
    public static final double DEFAULT_PREFILL_RATE = 20_000;

    /** Copies the variants. */
    public EndpointSpec {
        variants = Set.copyOf(variants);
        if (prefillTokensPerSecond <= 0) {
            throw new IllegalArgumentException("endpoint " + id + " must process more than 0 tokens a second");
        }
    }

    /** Returns the facts about an endpoint with the default rate. */
    public static EndpointSpec of(EndpointId id, FailureDomain domain, Set<ServiceVariant> variants, long kvTokens) {
        return new EndpointSpec(id, domain, variants, kvTokens, DEFAULT_PREFILL_RATE);
    }
}
