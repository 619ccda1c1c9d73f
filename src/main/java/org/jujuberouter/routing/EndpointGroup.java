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
 * The endpoints of one variant; built anew when endpoints or their conditions change, which is rare.
 *
 * <p>Long prompts use a third of the endpoints of each domain. Those with the least memory are chosen first: large endpoints
 * are usually the fast ones, on which short prompts of a few thousand tokens depend for their first token. The third with
 * the most memory serves the prompts that fit nowhere else, and takes over when the others are saturated. Rendezvous hashing
 * decides among endpoints of equal memory.
 */
final class EndpointGroup {
    private static final int LONG_SUBSET_DIVISOR = 3;
    /** A prompt of 200,000 tokens takes about as long at the default rate. */
    private static final double LONG_SPILL_SECONDS = 10;

    final long largestKvTokens;
    final Pool serving;
    /** The third of each domain with the least memory, rounded up since these endpoints are the slower ones. */
    final Pool longOrdinary;
    /** The third of each domain with the most memory, at least one. */
    final Pool longLarge;

    EndpointGroup(ServiceVariant variant, Collection<TrackedEndpoint> members, RoutingSettings settings) {
        largestKvTokens =
                members.stream().mapToLong(e -> e.spec.kvTokens()).max().orElse(0);
        List<TrackedEndpoint> ready = members.stream()
                .filter(e -> e.condition == EndpointCondition.SERVING)
                .toList();
        serving = new Pool(ready, settings);
        Comparator<TrackedEndpoint> byMemory = Comparator.comparingLong(e -> e.spec.kvTokens());
        longOrdinary = new Pool(chooseLong(variant, ready, byMemory, LONG_SUBSET_DIVISOR - 1), settings);
        longLarge = new Pool(chooseLong(variant, ready, byMemory.reversed(), 0), settings);
    }

    /** Returns the endpoints for a prompt that needs an endpoint of the given memory; empty if none is large enough. */
    Pool longPool(long leastKvTokens, ToDoubleFunction<TrackedEndpoint> wait) {
        double ordinary = longOrdinary.leastWait(leastKvTokens, wait);
        return ordinary < LONG_SPILL_SECONDS || ordinary < longLarge.leastWait(leastKvTokens, wait)
                ? longOrdinary
                : longLarge;
    }

    private static List<TrackedEndpoint> chooseLong(
            ServiceVariant variant, List<TrackedEndpoint> ready, Comparator<TrackedEndpoint> byMemory, int roundUp) {
        long key = PromptBlocks.mix(variant.hashText().hashCode());
        Comparator<TrackedEndpoint> order =
                byMemory.thenComparingLong(e -> rendezvousScore(key, e)).thenComparing(e -> e.spec.id());
        Map<FailureDomain, List<TrackedEndpoint>> byDomain =
                ready.stream().collect(Collectors.groupingBy(e -> e.spec.domain()));
        List<TrackedEndpoint> chosen = new ArrayList<>();
        for (List<TrackedEndpoint> members : byDomain.values()) {
            members.stream()
                    .sorted(order)
                    .limit(Math.max(1, (members.size() + roundUp) / LONG_SUBSET_DIVISOR))
                    .forEach(chosen::add);
        }
        return chosen;
    }

    static long rendezvousScore(long key, TrackedEndpoint endpoint) {
        return PromptBlocks.mix(key ^ endpoint.nameHash);
    }

    /** Endpoints in descending order of memory, so that those that fit a request come first. */
    static final class Pool {
        final TrackedEndpoint[] all;
        final TrackedEndpoint[] near;
        private final Set<TrackedEndpoint> members;

        Pool(List<TrackedEndpoint> endpoints, RoutingSettings settings) {
            all = sorted(endpoints, e -> true);
            int nearest = endpoints.stream()
                    .mapToInt(e -> settings.distance(e.spec.domain()))
                    .min()
                    .orElse(0);
            near = sorted(endpoints, e -> settings.distance(e.spec.domain()) == nearest);
            members = new HashSet<>(endpoints);
        }

        boolean contains(TrackedEndpoint endpoint) {
            return members.contains(endpoint);
        }

        /** Returns the shortest wait at an endpoint that could hold the tokens; infinite if there is none. */
        double leastWait(long neededTokens, ToDoubleFunction<TrackedEndpoint> wait) {
            return Arrays.stream(all, 0, fitting(all, neededTokens))
                    .mapToDouble(wait)
                    .min()
                    .orElse(Double.POSITIVE_INFINITY);
        }

        /** Returns how many endpoints at the start of the array could hold the tokens. */
        static int fitting(TrackedEndpoint[] endpoints, long neededTokens) {
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

        private static TrackedEndpoint[] sorted(List<TrackedEndpoint> endpoints, Predicate<TrackedEndpoint> filter) {
            return endpoints.stream()
                    .filter(filter)
                    .sorted(Comparator.comparingLong((TrackedEndpoint e) -> e.spec.kvTokens())
                            .reversed()
                            .thenComparing(e -> e.spec.id()))
                    .toArray(TrackedEndpoint[]::new);
        }
    }
}
