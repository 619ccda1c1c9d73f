package org.jujuberouter.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.jujuberouter.id.FailureDomain;

/**
 * The endpoints that serve one variant; rebuilt when endpoints or their conditions change, which is rare.
 *
 * <p>Long prompts are confined to a third of the endpoints of each failure domain, by default the third with the least
 * memory: endpoints with much memory are usually the fast ones, which short prompts of a few thousand tokens need for
 * an early first token. The third with the most memory serves prompts that fit nowhere else, and takes the others while
 * the first third is saturated and has the longer wait. Among endpoints of equal memory, rendezvous hashing decides.
 */
final class EndpointGroup {
    private static final int LONG_SUBSET_DIVISOR = 3;
    /** The prefill time of 200,000 tokens at the default rate. */
    private static final double LONG_OVERFLOW_WAIT_SECONDS = 10;

    final long largestKvTokens;
    final Pool serving;
    /** The third of each domain with the least memory; rounded up, since these endpoints are slower. */
    final Pool longSmallest;
    /** The third of each domain with the most memory, at least one. */
    final Pool longLargest;

    EndpointGroup(ServiceVariant variant, Collection<CandidateEndpoint> members, RoutingSettings settings) {
        largestKvTokens =
                members.stream().mapToLong(e -> e.spec.kvTokens()).max().orElse(0);
        List<CandidateEndpoint> ready = members.stream()
                .filter(e -> e.condition == EndpointCondition.SERVING)
                .toList();
        serving = new Pool(ready, settings);
        Comparator<CandidateEndpoint> byMemory = Comparator.comparingLong(e -> e.spec.kvTokens());
        longSmallest = new Pool(longSubset(variant, ready, byMemory, LONG_SUBSET_DIVISOR - 1), settings);
        longLargest = new Pool(longSubset(variant, ready, byMemory.reversed(), 0), settings);
    }

    /**
     * Returns the pool for a long prompt that needs the given memory; it may contain no endpoint that is large enough.
     */
    Pool longPool(long minKvTokens, ToDoubleFunction<CandidateEndpoint> wait) {
        double smallestWait = longSmallest.shortestWait(minKvTokens, wait);
        return smallestWait < LONG_OVERFLOW_WAIT_SECONDS || smallestWait < longLargest.shortestWait(minKvTokens, wait)
                ? longSmallest
                : longLargest;
    }

    private static List<CandidateEndpoint> longSubset(
            ServiceVariant variant,
            List<CandidateEndpoint> ready,
            Comparator<CandidateEndpoint> byMemory,
            int roundUp) {
        long key = PromptBlocks.mix(variant.hashText().hashCode());
        Comparator<CandidateEndpoint> order =
                byMemory.thenComparingLong(e -> rendezvousScore(key, e)).thenComparing(e -> e.spec.id());
        Map<FailureDomain, List<CandidateEndpoint>> byDomain =
                ready.stream().collect(Collectors.groupingBy(e -> e.spec.domain()));
        List<CandidateEndpoint> chosen = new ArrayList<>();
        for (List<CandidateEndpoint> members : byDomain.values()) {
            members.stream()
                    .sorted(order)
                    .limit(Math.max(1, (members.size() + roundUp) / LONG_SUBSET_DIVISOR))
                    .forEach(chosen::add);
        }
        return chosen;
    }

    static long rendezvousScore(long key, CandidateEndpoint endpoint) {
        return PromptBlocks.mix(key ^ endpoint.idHash);
    }

    /** Endpoints in descending order of memory, so that those that can hold a request come first. */
    static final class Pool {
        final CandidateEndpoint[] all;
        final CandidateEndpoint[] nearest;
        private final Set<CandidateEndpoint> members;

        Pool(List<CandidateEndpoint> endpoints, RoutingSettings settings) {
            all = sorted(endpoints, e -> true);
            int nearestDistance = endpoints.stream()
                    .mapToInt(e -> settings.distance(e.spec.domain()))
                    .min()
                    .orElse(0);
            nearest = sorted(endpoints, e -> settings.distance(e.spec.domain()) == nearestDistance);
            members = new HashSet<>(endpoints);
        }

        boolean contains(CandidateEndpoint endpoint) {
            return members.contains(endpoint);
        }

        /** Returns the shortest wait at an endpoint that can hold the tokens; infinite if there is none. */
        double shortestWait(long neededTokens, ToDoubleFunction<CandidateEndpoint> wait) {
            return Arrays.stream(all, 0, fitting(all, neededTokens))
                    .mapToDouble(wait)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
        }

        /** Returns how many endpoints at the start of the array can hold the tokens. */
        static int fitting(CandidateEndpoint[] endpoints, long neededTokens) {
            int low = 0;
            int high = endpoints.length;
            while (low < high) {
                int middle = (low + high) >>> 1;
                if (endpoints[middle].spec.kvTokens() >= neededTokens) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }

        private static CandidateEndpoint[] sorted(
                List<CandidateEndpoint> endpoints, Predicate<CandidateEndpoint> filter) {
            return endpoints.stream()
                    .filter(filter)
                    .sorted(Comparator.comparingLong((CandidateEndpoint e) -> e.spec.kvTokens())
                            .reversed()
                            .thenComparing(e -> e.spec.id()))
                    .toArray(CandidateEndpoint[]::new);
        }
    }
}
