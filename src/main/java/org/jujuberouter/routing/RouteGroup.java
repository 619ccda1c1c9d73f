package org.jujuberouter.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jujuberouter.id.FailureDomain;

/**
 * The endpoints of one placement; built anew when endpoints or their conditions change, which is rare.
 *
 * <p>Long prompts use a third of the endpoints of each domain, at least one. Endpoints with the most memory are chosen
 * first, since a prompt that fits nowhere else must be able to use them, and rendezvous hashing decides among equals.
 */
final class RouteGroup {
    private static final int LONG_SUBSET_DIVISOR = 3;

    final long largestKvTokens;
    final Pool serving;
    final Pool longSubset;

    RouteGroup(Placement placement, Collection<EndpointState> members, RoutingSettings settings) {
        largestKvTokens =
                members.stream().mapToLong(e -> e.spec.kvTokens()).max().orElse(0);
        List<EndpointState> ready = members.stream()
                .filter(e -> e.condition == EndpointCondition.SERVING)
                .toList();
        serving = new Pool(ready, settings);
        longSubset = settings.longSubset() ? new Pool(chooseLong(placement, ready), settings) : serving;
    }

    private static List<EndpointState> chooseLong(Placement placement, List<EndpointState> ready) {
        long key = PromptBlocks.mix(placement.toString().hashCode());
        Comparator<EndpointState> byMemory =
                Comparator.comparingLong((EndpointState e) -> e.spec.kvTokens()).reversed();
        Comparator<EndpointState> order =
                byMemory.thenComparingLong(e -> rendezvousScore(key, e)).thenComparing(e -> e.spec.id());
        Map<FailureDomain, List<EndpointState>> byDomain =
                ready.stream().collect(Collectors.groupingBy(e -> e.spec.domain()));
        List<EndpointState> chosen = new ArrayList<>();
        for (List<EndpointState> members : byDomain.values()) {
            members.stream()
                    .sorted(order)
                    .limit(Math.max(1, members.size() / LONG_SUBSET_DIVISOR))
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
