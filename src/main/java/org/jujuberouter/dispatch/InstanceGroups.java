package org.jujuberouter.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.jujuberouter.misc.RendezvousHash;

/**
 * Partitions instances and engines into groups if there are too many instances for each to receive all allocations.
 *
 * <p>The instances of a group exchange their allocations and use only the engines of the group, so the number of
 * messages per request does not grow with the number of instances. Every instance computes the same groups from the
 * entries of the store. The number of groups is a power of two, so it seldom changes. Each key ranks the groups by
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

    /** Assigns each key to a group, numbered from 0; no group gets more keys than the average, rounded up. */
    public static <T> Map<T, Integer> assign(String salt, Collection<T> keys, int groups) {
        List<Integer> numbers = IntStream.range(0, groups).boxed().toList();
        int capacity = (keys.size() + groups - 1) / groups;
        int[] sizes = new int[groups];
        Map<T, Integer> assigned = new HashMap<>();
        for (T key : RendezvousHash.rank(salt, keys)) {
            for (int group : RendezvousHash.rank(salt + key, numbers)) {
                if (sizes[group] < capacity) {
                    sizes[group]++;
                    assigned.put(key, group);
                    break;
                }
            }
        }
        return assigned;
    }
}
