package org.jujuberouter.dispatch;

import java.util.List;
import java.util.stream.Stream;
import org.jujuberouter.catalog.Endpoint;

/** The outcome of placing a call. */
public sealed interface PlacementDecision {
    /**
     * The call is sent to an endpoint.
     *
     * @param endpoint the endpoint that answers
     * @param helpers endpoints that prefill parts of the prompt
     * @param allocations resources that the call uses on each of these endpoints
     * @param reservedTokensPerEngine KV cache to reserve on each endpoint, in tokens, if the prompt is too large for a
     *     single one; otherwise 0
     * @param predictedFirstEventMs predicted time to the first event, in milliseconds; 0 if not predicted
     * @param predictedLateCost value of the calls that the placement is expected to make late, in units of a
     *     short call
     * @param away why the call leaves the failure domain of the instance; {@link AwayReason#NONE} if it does not
     */
    record Send(
            TrackedEndpoint endpoint,
            List<TrackedEndpoint> helpers,
            List<Allocation> allocations,
            long reservedTokensPerEngine,
            double predictedFirstEventMs,
            double predictedLateCost,
            AwayReason away)
            implements PlacementDecision {
        public Send {
            helpers = List.copyOf(helpers);
            allocations = List.copyOf(allocations);
        }

        /** Returns the registrations of the endpoint and of the helpers. */
        public List<Endpoint> registrations() {
            return Stream.concat(Stream.of(endpoint), helpers.stream())
                    .map(TrackedEndpoint::registration)
                    .toList();
        }

        /** Returns whether the endpoint and all helpers still accept new requests. */
        public boolean isUsable(long now) {
            return endpoint.acceptsRequests(now) && helpers.stream().allMatch(h -> h.acceptsRequests(now));
        }
    }

    /**
     * The call is queued until the state of the endpoints changes.
     *
     * @param reason explanation for the log
     * @param notAway why the call was not sent to another failure domain; empty if domains are ignored
     * @param forecast when the call can be placed
     */
    record Wait(String reason, String notAway, PlacementForecast forecast) implements PlacementDecision {
        Wait(String reason, String notAway) {
            this(reason, notAway, PlacementForecast.UNKNOWN);
        }
    }

    /**
     * The call is refused.
     *
     * @param reason explanation for the log and the caller
     * @param retryAfterMs time after which the caller may retry, in milliseconds
     * @param unservable whether no engine can answer the call in the time that is left, whatever its place
     */
    record Refuse(String reason, long retryAfterMs, boolean unservable) implements PlacementDecision {
        Refuse(String reason, long retryAfterMs) {
            this(reason, retryAfterMs, false);
        }
    }
}
