package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against a message rate that is quadratic in the number of instances, and against engines that no group uses.
 */
class InstanceGroupsTest {
    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "n" + i).toList();
    }

    @Test
    void formsOneGroupOfFewInstancesAndGroupsOfBoundedSizeOfMany() {
        assertEquals(1, InstanceGroups.groupCount(1));
        assertEquals(1, InstanceGroups.groupCount(8));
        assertEquals(1, InstanceGroups.groupCount(23));
        for (int n : new int[] {24, 67, 71, 100, 300, 410}) {
            int groupSize = n / InstanceGroups.groupCount(n);
            assertTrue(groupSize >= 12 && groupSize < 24, n + " instances: " + groupSize + " per group");
        }
    }

    @Test
    void assignsKeysEvenly() {
        int[] sizes = new int[4];
        InstanceGroups.assign("salt", names(78), 4).values().forEach(g -> sizes[g]++);
        for (int size : sizes) {
            assertTrue(size >= 18 && size <= 20, "size of a group: " + size);
        }
    }

    /** An engine or instance is added or removed while all others keep running. */
    @Test
    void movesFewKeysWhenOneIsRemoved() {
        List<String> all = names(78);
        Map<String, Integer> before = InstanceGroups.assign("salt", all, 4);
        Map<String, Integer> after = InstanceGroups.assign("salt", all.subList(0, 77), 4);
        long moved = after.entrySet().stream()
                .filter(e -> !before.get(e.getKey()).equals(e.getValue()))
                .count();
        assertTrue(moved <= 8, moved + " of 77 keys moved");
    }

    private static Map<String, FailureDomain> inDomains(List<String> names, int domains) {
        Map<String, FailureDomain> result = new HashMap<>();
        // The domains differ in size: the last one has twice as many keys as each of the others.
        names.forEach(n -> result.put(
                n, FailureDomain.of("z" + Math.min(domains - 1, Integer.parseInt(n.substring(1)) % (domains + 1)))));
        return result;
    }

    /** A group without engines of a domain would send all calls of its instances there to other domains. */
    @Test
    void givesEachGroupItsShareOfEachDomain() {
        for (int keys : new int[] {31, 71, 95, 195}) {
            for (int domains = 3; domains <= 5; domains++) {
                Map<String, FailureDomain> all = inDomains(names(keys), domains);
                Map<String, Integer> assigned = InstanceGroups.assignByDomain("salt", all, 4);
                assertEquals(keys, assigned.size());
                Map<FailureDomain, int[]> sizes = new HashMap<>();
                FailureDomain total = FailureDomain.of("all");
                assigned.forEach((key, group) -> {
                    sizes.computeIfAbsent(all.get(key), _ -> new int[4])[group]++;
                    sizes.computeIfAbsent(total, _ -> new int[4])[group]++;
                });
                sizes.forEach((domain, s) -> assertTrue(
                        IntStream.of(s).max().orElseThrow()
                                        - IntStream.of(s).min().orElseThrow()
                                <= 1,
                        keys + " keys, " + domain + ": " + Arrays.toString(s)));
            }
        }
    }

    /** Each change of the list would otherwise move many instances, which then relearn the work in their group. */
    @Test
    void movesFewKeysBetweenSlicesWhenOneIsRemoved() {
        int worst = 0;
        int moves = 0;
        for (int removed = 0; removed < 95; removed++) {
            List<String> rest = new ArrayList<>(names(95));
            rest.remove(removed);
            Map<String, Integer> before = InstanceGroups.assignByDomain("salt", inDomains(names(95), 5), 4);
            Map<String, Integer> after = InstanceGroups.assignByDomain("salt", inDomains(rest, 5), 4);
            int moved = (int) after.entrySet().stream()
                    .filter(e -> !before.get(e.getKey()).equals(e.getValue()))
                    .count();
            worst = Math.max(worst, moved);
            moves += moved;
        }
        assertTrue(worst <= 12 && moves <= 95 * 5, "moves on average " + moves / 95.0 + ", at most " + worst);
    }

    @Test
    void assignsEachEngineToExactlyOneGroup() {
        ServiceName service = ServiceName.of("assistant");
        List<EndpointId> used = new ArrayList<>();
        for (int group = 0; group < 4; group++) {
            EndpointRegistry registry = EndpointRegistry.empty(ManualTicker.atZero());
            register(registry, service, 45);
            registry.setGroup(group, 4);
            registry.usable(service).forEach(e -> used.add(e.registration().id()));
        }
        assertEquals(45, used.size());
        assertEquals(45, new HashSet<>(used).size());
    }

    /** A service has few endpoints, or all endpoints of the own group are draining. */
    @Test
    void usesAllEndpointsOfASmallServiceAndOtherGroupsIfTheOwnHasNone() {
        ServiceName smallService = ServiceName.of("ledger");
        EndpointRegistry registry = EndpointRegistry.empty(ManualTicker.atZero());
        register(registry, smallService, 5);
        registry.setGroup(3, 4);
        assertEquals(5, registry.usable(smallService).size());

        ServiceName service = ServiceName.of("assistant");
        EndpointRegistry large = EndpointRegistry.empty(ManualTicker.atZero());
        register(large, service, 45);
        large.setGroup(3, 4);
        Set<EndpointId> ownEndpoints = new HashSet<>();
        large.usable(service).forEach(e -> ownEndpoints.add(e.registration().id()));
        for (EndpointId id : ownEndpoints) {
            register(large, service, id, true);
        }
        assertEquals(45 - ownEndpoints.size(), large.usable(service).size());
    }

    private static void register(EndpointRegistry registry, ServiceName service, int count) {
        for (int i = 0; i < count; i++) {
            register(registry, service, EndpointId.of(service + "-" + i), false);
        }
    }

    private static void register(EndpointRegistry registry, ServiceName service, EndpointId id, boolean draining) {
        registry.register(new Endpoint(
                id, service, new InetSocketAddress("10.0.0.1", 80), FailureDomain.of("z"), 8, draining, 0, 0));
    }
}
