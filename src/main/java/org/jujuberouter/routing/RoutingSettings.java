package org.jujuberouter.routing;

import java.time.Duration;
import java.util.Map;
import org.jujuberouter.id.FailureDomain;

/**
 * Settings of a router. Costs are estimates of waiting time in seconds.
 *
 * @param ownDomain the failure domain of this instance
 * @param distances distances to other domains in steps; a domain that is not listed has distance 1
 * @param distanceCost cost of one step of distance, in seconds
 * @param requestCost seconds that each request at an endpoint adds to the wait, mostly through longer steps
 * @param affinityFactor cache affinity applies while the endpoint's load is below this factor of the mean
 * @param affinitySlack seconds of load that affinity tolerates above that, so that it also applies
 *     when all endpoints are idle
 * @param assumedCachedShare share of a prompt that the preferred endpoint of its prefix is assumed to have cached
 *     although the index does not say so
 * @param cacheEntryTtl time after which a record of a cached block expires
 * @param cacheEntryTtlAfterGap time after a gap in the cache events after which older records expire
 * @param maxCacheEntries most blocks in the index; each takes about 220 bytes
 * @param maxCandidates most endpoints returned for a request
 * @param longSubset whether long prompts are confined to a subset of the endpoints
 */
public record RoutingSettings(
        FailureDomain ownDomain,
        Map<FailureDomain, Integer> distances,
        double distanceCost,
        double requestCost,
        double affinityFactor,
        double affinitySlack,
        double assumedCachedShare,
        Duration cacheEntryTtl,
        Duration cacheEntryTtlAfterGap,
        int maxCacheEntries,
        int maxCandidates,
        boolean longSubset) {
    /** Share of an endpoint's memory that long prompts may use; admission applies the same limit. */
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

    /** Returns a copy with the given distances to domains. */
    public RoutingSettings withDistances(Map<FailureDomain, Integer> newDistances) {
        return new RoutingSettings(
                ownDomain,
                Map.copyOf(newDistances),
                distanceCost,
                requestCost,
                affinityFactor,
                affinitySlack,
                assumedCachedShare,
                cacheEntryTtl,
                cacheEntryTtlAfterGap,
                maxCacheEntries,
                maxCandidates,
                longSubset);
    }

    /** Returns a copy in which long prompts are confined to a subset, or not. */
    public RoutingSettings withLongSubset(boolean confined) {
        return new RoutingSettings(
                ownDomain,
                distances,
                distanceCost,
                requestCost,
                affinityFactor,
                affinitySlack,
                assumedCachedShare,
                cacheEntryTtl,
                cacheEntryTtlAfterGap,
                maxCacheEntries,
                maxCandidates,
                confined);
    }

    int distance(FailureDomain domain) {
        return domain.equals(ownDomain) ? 0 : distances.getOrDefault(domain, 1);
    }
}
