package org.jujuberouter.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.jujuberouter.misc.RendezvousHash;

/**
 * Divides instances and engines into groups, when there are too many instances for each to hear of all placed work.
 *
 * <p>The instances of a group tell each other of all their work and use their share of the engines, so the messages of one
 * request do not grow with the number of instances. Every instance computes the same groups from what the store lists. The
 * number of groups is a power of two, so it seldom changes. Each key prefers groups in an order of its own and takes the
 * first with room, so the groups are even and few keys move when one comes or goes.
 */
public final class ShareGroups {
    /** Fewest instances of a group; with fewer, the traffic of the groups becomes uneven. */
    private static final int SMALLEST_GROUP = 12;

    /** Fewest engines of a group's share; a service with fewer is used by all. */
    private static final int SMALLEST_SHARE = 8;

    private ShareGroups() {}

    /** Returns the number of groups for a number of instances. */
    public static int count(int instances) {
        return Math.max(1, Integer.highestOneBit(Math.max(1, instances / SMALLEST_GROUP)));
    }

    /** Returns the number of groups that divide the endpoints of a service, or 1 where it is too small for that. */
    static int countForService(int groups, int endpoints) {
        return endpoints / groups < SMALLEST_SHARE ? 1 : groups;
    }

    /** Returns the group of each key, from 0 on; no group has more keys than an even share rounded up. */
    public static <T> Map<T, Integer> assign(String salt, Collection<T> keys, int groups) {
        List<Integer> numbers = IntStream.range(0, groups).boxed().toList();
        int room = (keys.size() + groups - 1) / groups;
        int[] taken = new int[groups];
        Map<T, Integer> assigned = new HashMap<>();
        for (T key : RendezvousHash.rank(salt, keys)) {
            for (int group : RendezvousHash.rank(salt + key, numbers)) {
                if (taken[group] < room) {
                    taken[group]++;
                    assigned.put(key, group);
                    break;
                }
            }
        }
        return assigned;
    }
}
