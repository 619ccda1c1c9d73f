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
 * The endpoints of one placement; built anew when endpoints or their conditions change, which is rare.
 *
 * <p>Long prompts use a third of the endpoints of each domain. Those with the least memory are chosen first: large endpoints
 * are usually the fast ones, on which short prompts of a few thousand tokens depend for their first token. The third with
 * the most memory serves the prompts that fit nowhere else, and takes over when the others are saturated. Rendezvous hashing
 * decides among endpoints of equal memory.
 */
final class RouteGroup {
    private static final int LONG_SUBSET_DIVISOR = 3;
    /** A prompt of 200,000 tokens takes about as long at the default rate. */
    private static final double LONG_SPILL_SECONDS = 10;

    final long largestKvTokens;
    final Pool serving;
    /** The third of each domain with the least memory, rounded up since these endpoints are the slower ones. */
    final Pool longOrdinary;
    /** The third of each domain with the most memory, at least one. */
    final Pool longLarge;

    RouteGroup(Placement placement, Collection<EndpointState> members, RoutingSettings settings) {
        largestKvTokens =
                members.stream().mapToLong(e -> e.spec.kvTokens()).max().orElse(0);
        List<EndpointState> ready = members.stream()
                .filter(e -> e.condition == EndpointCondition.SERVING)
                .toList();
        serving = new Pool(ready, settings);
        Comparator<EndpointState> byMemory = Comparator.comparingLong(e -> e.spec.kvTokens());
        longOrdinary = new Pool(chooseLong(placement, ready, byMemory, LONG_SUBSET_DIVISOR - 1), settings);
        longLarge = new Pool(chooseLong(placement, ready, byMemory.reversed(), 0), settings);
    }

    /** Returns the endpoints for a prompt that needs an endpoint of the given memory; empty if none is large enough. */
    Pool longPool(long leastKvTokens, ToDoubleFunction<EndpointState> wait) {
        double ordinary = longOrdinary.leastWait(leastKvTokens, wait);
        return ordinary < LONG_SPILL_SECONDS || ordinary < longLarge.leastWait(leastKvTokens, wait)
                ? longOrdinary
                : longLarge;
    }

    private static List<EndpointState> chooseLong(
            Placement placement, List<EndpointState> ready, Comparator<EndpointState> byMemory, int roundUp) {
        long key = PromptBlocks.mix(placement.toString().hashCode());
        Comparator<EndpointState> order =
                byMemory.thenComparingLong(e -> rendezvousScore(key, e)).thenComparing(e -> e.spec.id());
        Map<FailureDomain, List<EndpointState>> byDomain =
                ready.stream().collect(Collectors.groupingBy(e -> e.spec.domain()));
        List<EndpointState> chosen = new ArrayList<>();
        for (List<EndpointState> members : byDomain.values()) {
            members.stream()
                    .sorted(order)
                    .limit(Math.max(1, (members.size() + roundUp) / LONG_SUBSET_DIVISOR))
                    .forEach(chosen::add);
        }
        return chosen;
    }

    static long rendezvousScore(long key, EndpointState endpoint) {
        return PromptBlocks.mix(key ^ endpoint.nameHash);
    }

    /** Endpoints in descending order of memory, so that those that fit a request come first. */
    static final class Pool {
        final EndpointState[] all;
        final EndpointState[] near;
        private final Set<EndpointState> members;

        Pool(List<EndpointState> endpoints, RoutingSettings settings) {
            all = sorted(endpoints, e -> true);
            int nearest = endpoints.stream()
                    .mapToInt(e -> settings.distance(e.spec.domain()))
                    .min()
                    .orElse(0);
            near = sorted(endpoints, e -> settings.distance(e.spec.domain()) == nearest);
            members = new HashSet<>(endpoints);
        }

        boolean contains(EndpointState endpoint) {
            return members.contains(endpoint);
        }

        /** Returns the shortest wait at an endpoint that could hold the tokens; infinite if there is none. */
        double leastWait(long neededTokens, ToDoubleFunction<EndpointState> wait) {
            return Arrays.stream(all, 0, fitting(all, neededTokens))
                    .mapToDouble(wait)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
        }

        /** Returns how many endpoints at the start of the array could hold the tokens. */
        static int fitting(EndpointState[] endpoints, long neededTokens) {
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

        private static EndpointState[] sorted(List<EndpointState> endpoints, Predicate<EndpointState> filter) {
            return endpoints.stream()
                    .filter(filter)
                    .sorted(Comparator.comparingLong((EndpointState e) -> e.spec.kvTokens())
                            .reversed()
                            .thenComparing(e -> e.spec.id()))
                    .toArray(EndpointState[]::new);
        }
    }
}
