package org.jujuberouter.routing;

import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;

/**
 * The static properties of an endpoint.
 *
 * @param id the endpoint
 * @param domain its failure domain
 * @param variants the service variants that it serves
 * @param kvTokens capacity of its KV cache in tokens; {@link Long#MAX_VALUE} for a plain service
 * @param prefillTokensPerSecond prompt tokens that it processes per second
 */
public record EndpointSpec(
        EndpointId id,
        FailureDomain domain,
        Set<ServiceVariant> variants,
        long kvTokens,
        double prefillTokensPerSecond) {
    /** Prefill rate of a large engine, in tokens per second; used where no rate is configured. */
    public static final double DEFAULT_PREFILL_RATE = 20_000;

    /** Copies the variants and checks the prefill rate. */
    public EndpointSpec {
        variants = Set.copyOf(variants);
        if (prefillTokensPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "prefill rate of endpoint " + id + " is " + prefillTokensPerSecond + " tokens/s, must be above 0");
        }
    }

    /** Returns the properties of an endpoint with the default prefill rate. */
    public static EndpointSpec of(EndpointId id, FailureDomain domain, Set<ServiceVariant> variants, long kvTokens) {
        return new EndpointSpec(id, domain, variants, kvTokens, DEFAULT_PREFILL_RATE);
    }
}
