package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
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
