package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.misc.RendezvousHash;

/**
 * Partitions instances and engines into groups if there are too many instances for each to receive all allocations.
 *
 * <p>The instances of a group exchange their allocations and use only the engines of the group, so the number of
 * messages per request does not grow with the number of instances. Every instance computes the same groups from the
 * entries of the store. A group is a slice through all failure domains, so its members find engines of their own domain in
 * it, and uneven demand between domains is balanced within it. The number of groups is a power of two, so it seldom
 * changes. Each key ranks the groups by
 * rendezvous hashing and takes the first one with capacity left. The groups are therefore balanced, and few keys move
 * when one is added or removed.
 */
public final class InstanceGroups {
    /** Minimum number of instances in a group; the load of smaller groups becomes uneven. */
    private static final int MIN_GROUP_SIZE = 12;

    /** Minimum number of engines per group; the engines of a service with fewer are used by all groups. */
    private static final int MIN_ENGINES_PER_GROUP = 8;

    private InstanceGroups() {}

    /** Returns the number of groups for a number of instances. */
    public static int groupCount(int instances) {
        return Math.max(1, Integer.highestOneBit(Math.max(1, instances / MIN_GROUP_SIZE)));
    }

    /** Returns the number of groups among which the endpoints of a service are divided; 1 if there are too few. */
    static int groupCountForService(int groups, int endpoints) {
        return endpoints / groups < MIN_ENGINES_PER_GROUP ? 1 : groups;
    }

    /**
     * Assigns each key to a group, numbered from 0, so that each group is a slice through all domains: it has the average
     * number of each domain's keys, rounded up or down, and the same holds for all keys together.
     */
    public static <T> Map<T, Integer> assignByDomain(String salt, Map<T, FailureDomain> domains, int groups) {
        Map<FailureDomain, List<T>> keysByDomain = new TreeMap<>();
        domains.forEach((key, domain) ->
                keysByDomain.computeIfAbsent(domain, _ -> new ArrayList<>()).add(key));
        List<Integer> numbers = IntStream.range(0, groups).boxed().toList();
        int[] extras = new int[groups];
        Map<T, Integer> assigned = new HashMap<>();
        keysByDomain.forEach((domain, keys) -> {
            int[] free = new int[groups];
            Arrays.fill(free, keys.size() / groups);
            // The groups that have got the fewest keys beyond the average of a domain take those of this one.
            RendezvousHash.rank(salt + domain, numbers).stream()
                    .sorted(Comparator.comparingInt(group -> extras[group]))
                    .limit(keys.size() % groups)
                    .forEach(group -> {
                        extras[group]++;
                        free[group]++;
                    });
            assign(salt, keys, numbers, free, assigned);
        });
        return assigned;
    }

    /**
     * Assigns each key to a group without regard to domains, which is used while the domain of an instance is unknown; no
     * group gets more keys than the average, rounded up.
     */
    public static <T> Map<T, Integer> assign(String salt, Collection<T> keys, int groups) {
        List<Integer> numbers = IntStream.range(0, groups).boxed().toList();
        int[] free = new int[groups];
        Arrays.fill(free, (keys.size() + groups - 1) / groups);
        Map<T, Integer> assigned = new HashMap<>();
        assign(salt, keys, numbers, free, assigned);
        return assigned;
    }

    private static <T> void assign(
            String salt, Collection<T> keys, List<Integer> groups, int[] free, Map<T, Integer> assigned) {
        for (T key : RendezvousHash.rank(salt, keys)) {
            for (int group : RendezvousHash.rank(salt + key, groups)) {
                if (free[group] > 0) {
                    free[group]--;
                    assigned.put(key, group);
                    break;
                }
            }
        }
    }
}
