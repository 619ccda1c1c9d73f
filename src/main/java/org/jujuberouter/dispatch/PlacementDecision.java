package org.jujuberouter.dispatch;

import java.util.List;

/** Where a call goes now. */
public sealed interface PlacementDecision {
    /**
     * Send it.
     *
     * @param endpoint the endpoint that answers
     * @param helpers endpoints that read parts of the prompt
     * @param allocations what the call occupies
     * @param reservedTokensPerEngine tokens of memory to reserve at each endpoint, where the prompt does not fit into one; else 0
     * @param predictedFirstEventMs predicted time to the first event, in milliseconds; 0 where it is not predicted
     * @param predictedLateCost weight of what the placement is expected to make late
     */
    record Send(
            TrackedEndpoint endpoint,
            List<TrackedEndpoint> helpers,
            List<Allocation> allocations,
            long reservedTokensPerEngine,
            double predictedFirstEventMs,
            double predictedLateCost)
            implements PlacementDecision {
        /** Copies the lists. */
        public Send {
            helpers = List.copyOf(helpers);
            allocations = List.copyOf(allocations);
        }
    }

    /**
     * Try again when something has changed.
     *
     * @param reason a sentence for the log
     */
    record Wait(String reason) implements PlacementDecision {}

    /**
     * It cannot be served now.
     *
     * @param reason a sentence for the log
     * @param retryAfterMs when there may be room
     */
    record Refuse(String reason, long retryAfterMs) implements PlacementDecision {}
}
