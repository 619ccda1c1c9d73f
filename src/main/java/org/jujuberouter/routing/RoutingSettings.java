package org.jujuberouter.routing;

import java.time.Duration;
import java.util.Map;
import org.jujuberouter.id.FailureDomain;

/**
 * Settings of a router. Costs are estimates of waiting time in seconds.
 *
 * @param ownDomain the failure domain of this instance
 * @param distances distance of other domains in steps; a domain that is not listed has distance 1
 * @param distanceCost seconds that one step of distance may save
 * @param requestCost seconds that each request at the endpoint adds, mostly by longer steps
 * @param affinityFactor affinity holds while the endpoint's load is below this factor of the mean
 * @param affinitySlack seconds of load that affinity tolerates above the factor, so that idle fleets keep it
 * @param homeShare part of a prompt that the home endpoint of its prefix is assumed to hold without evidence
 * @param beliefLife time after which a belief about a cached block ends
 * @param beliefLifeAfterGap remaining life of a belief when cache events were lost after it
 * @param maxBeliefs number of blocks remembered; each takes about 220 bytes
 * @param maxCandidates endpoints returned for a request
 * @param longSubset whether long prompts are confined to a third of the endpoints
 */
public record RoutingSettings(
        FailureDomain ownDomain,
        Map<FailureDomain, Integer> distances,
        double distanceCost,
        double requestCost,
        double affinityFactor,
        double affinitySlack,
        double homeShare,
        Duration beliefLife,
        Duration beliefLifeAfterGap,
        int maxBeliefs,
        int maxCandidates,
        boolean longSubset) {
    /** Part of an endpoint's memory that the long lane may use; the same bound holds at admission. */
    public static final double LONG_MEMORY_SHARE = 0.6;

    /** Returns the default settings of an instance in the given domain. */
    public static RoutingSettings in(FailureDomain ownDomain) {
        return new RoutingSettings(
                ownDomain,
                Map.of(),
                0.01,
                0.003,
                1.5,
                0.2,
                0.25,
                Duration.ofMinutes(5),
                Duration.ofSeconds(10),
                32_768,
                4,
                true);
    }

    /** Returns the same settings with the given distances of domains. */
    public RoutingSettings withDistances(Map<FailureDomain, Integer> newDistances) {
        return new RoutingSettings(
                ownDomain,
                Map.copyOf(newDistances),
                distanceCost,
                requestCost,
                affinityFactor,
                affinitySlack,
                homeShare,
                beliefLife,
                beliefLifeAfterGap,
                maxBeliefs,
                maxCandidates,
                longSubset);
    }

    /** Returns the same settings with or without the confinement of long prompts. */
    public RoutingSettings withLongSubset(boolean confined) {
        return new RoutingSettings(
                ownDomain,
                distances,
                distanceCost,
                requestCost,
                affinityFactor,
                affinitySlack,
                homeShare,
                beliefLife,
                beliefLifeAfterGap,
                maxBeliefs,
                maxCandidates,
                confined);
    }

    int distance(FailureDomain domain) {
        return domain.equals(ownDomain) ? 0 : distances.getOrDefault(domain, 1);
    }
}
