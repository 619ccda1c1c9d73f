package org.jujuberouter.dispatch;

import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;

/**
 * The resources that a call uses on an endpoint.
 *
 * @param id the id of the call
 * @param endpoint the id of the endpoint
 * @param holdsSlot whether it takes a slot; prefilling a part for another endpoint takes none
 * @param prefillMs time to prefill its part of the prompt, in milliseconds
 * @param memoryTokens KV cache that it uses, in tokens
 * @param objectiveMs objective for the time from its start to the first event, in milliseconds
 * @param gapObjectiveMs objective for the gap between two events, in milliseconds; 0 if the answer is not a stream
 * @param lateCost value lost if the call is late, in units of a short call
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
