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

/** Guards against messages that grow with the square of the instances, and against engines that no group uses. */
class InstanceGroupsTest {
    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "n" + i).toList();
    }

    @Test
    void keepsFewInstancesInOneGroupAndManyInGroupsOfABoundedSize() {
        assertEquals(1, InstanceGroups.groupCount(1));
        assertEquals(1, InstanceGroups.groupCount(8));
        assertEquals(1, InstanceGroups.groupCount(23));
        for (int n : new int[] {24, 67, 71, 100, 300, 410}) {
            int each = n / InstanceGroups.groupCount(n);
            assertTrue(each >= 12 && each < 24, n + " instances: " + each + " in a group");
        }
    }

    @Test
    void dividesEvenly() {
        int[] sizes = new int[4];
        InstanceGroups.assign("salt", names(78), 4).values().forEach(g -> sizes[g]++);
        for (int size : sizes) {
            assertTrue(size >= 18 && size <= 20, "size of a group: " + size);
        }
    }

    /** Pattern: an engine or instance leaves or comes while all others go on. */
    @Test
    void movesFewWhenOneLeaves() {
        List<String> all = names(78);
        Map<String, Integer> before = InstanceGroups.assign("salt", all, 4);
        Map<String, Integer> after = InstanceGroups.assign("salt", all.subList(0, 77), 4);
        long moved = after.entrySet().stream()
                .filter(e -> !before.get(e.getKey()).equals(e.getValue()))
                .count();
        assertTrue(moved <= 8, moved + " of 77 moved");
    }

    @Test
    void sharesOfAllGroupsTogetherAreAllEnginesAndNoneIsInTwo() {
        ServiceName service = ServiceName.of("assistant");
        List<EndpointId> used = new ArrayList<>();
        for (int group = 0; group < 4; group++) {
            EndpointRegistry fleet = EndpointRegistry.empty(ManualTicker.atZero());
            register(fleet, service, 45);
            fleet.setGroup(group, 4);
            fleet.usable(service).forEach(e -> used.add(e.registration().id()));
        }
        assertEquals(45, used.size());
        assertEquals(45, new HashSet<>(used).size());
    }

    /** Pattern: a service with few endpoints, and a share whose engines are all taken out. */
    @Test
    void usesAllEndpointsOfASmallServiceAndOfOtherSharesWhenTheOwnHasNone() {
        ServiceName ledger = ServiceName.of("ledger");
        EndpointRegistry fleet = EndpointRegistry.empty(ManualTicker.atZero());
        register(fleet, ledger, 5);
        fleet.setGroup(3, 4);
        assertEquals(5, fleet.usable(ledger).size());

        ServiceName service = ServiceName.of("assistant");
        EndpointRegistry large = EndpointRegistry.empty(ManualTicker.atZero());
        register(large, service, 45);
        large.setGroup(3, 4);
        Set<EndpointId> own = new HashSet<>();
        large.usable(service).forEach(e -> own.add(e.registration().id()));
        for (EndpointId id : own) {
            register(large, service, id, true);
        }
        assertEquals(45 - own.size(), large.usable(service).size());
    }

    private static void register(EndpointRegistry fleet, ServiceName service, int count) {
        for (int i = 0; i < count; i++) {
            register(fleet, service, EndpointId.of(service + "-" + i), false);
        }
    }

    private static void register(EndpointRegistry fleet, ServiceName service, EndpointId id, boolean draining) {
        fleet.register(new Endpoint(
                id, service, new InetSocketAddress("10.0.0.1", 80), FailureDomain.of("z"), 8, draining, 0, 0));
    }
}
