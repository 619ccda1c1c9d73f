package org.jujuberouter.dispatch;

import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;

/**
 * What one call occupies at one endpoint.
 *
 * @param id the call
 * @param endpoint the endpoint
 * @param holdsSlot whether it takes a slot; reading a part for another endpoint takes none
 * @param prefillMs time to read its part of the prompt, in milliseconds
 * @param memoryTokens tokens that it holds in the endpoint's memory
 * @param objectiveMs time from its start to the first event that counts as on time, in milliseconds
 * @param gapObjectiveMs longest pause that its stream bears, in milliseconds; 0 where it does not stream
 * @param lateCost what it loses when it is late
 */
public record Allocation(
        RequestId id,
        EndpointId endpoint,
        boolean holdsSlot,
        double prefillMs,
        long memoryTokens,
        long objectiveMs,
        long gapObjectiveMs,
        double lateCost) {}
