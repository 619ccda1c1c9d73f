package org.jujuberouter.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.jujuberouter.misc.Rendezvous;

/**
 * Divides instances and engines into groups, when there are too many instances for each to hear of all placed work.
 *
 * <p>The instances of a group tell each other of all their work and use their share of the engines, so the messages of one
 * request do not grow with the number of instances. Every instance computes the same groups from what the store lists. The
 * number of groups is a power of two, so it seldom changes. Each key prefers groups in an order of its own and takes the
 * first with room, so the groups are even and few keys move when one comes or goes.
 */
public final class InstanceGroups {
    /** Fewest instances of a group; with fewer, the traffic of the groups becomes uneven. */
    private static final int MIN_GROUP_SIZE = 12;

    /** Fewest engines of a group's share; a service with fewer is used by all. */
    private static final int MIN_ENGINES_PER_GROUP = 8;

    private InstanceGroups() {}

    /** Returns the number of groups for a number of instances. */
    public static int groupCount(int instances) {
        return Math.max(1, Integer.highestOneBit(Math.max(1, instances / MIN_GROUP_SIZE)));
    }

    /** Returns the number of groups that divide the endpoints of a service, or 1 where it is too small for that. */
    static int groupCountForService(int groups, int endpoints) {
        return endpoints / groups < MIN_ENGINES_PER_GROUP ? 1 : groups;
    }

    /** Returns the group of each key, from 0 on; no group has more keys than an even share rounded up. */
    public static <T> Map<T, Integer> assign(String salt, Collection<T> keys, int groups) {
        List<Integer> numbers = IntStream.range(0, groups).boxed().toList();
        int capacity = (keys.size() + groups - 1) / groups;
        int[] sizes = new int[groups];
        Map<T, Integer> assigned = new HashMap<>();
        for (T key : Rendezvous.order(salt, keys)) {
            for (int group : Rendezvous.order(salt + key, numbers)) {
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
