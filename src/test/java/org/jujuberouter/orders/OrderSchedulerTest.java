package org.jujuberouter.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that contradict each other, take too many engines out of service, or overload the weights store,
 * and against a declared placement that is never reached.
 */
class OrderSchedulerTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void reachesTheDeclaredPlacementWithinAllBounds() {
        Map<String, String> faults = new TreeMap<>();
        int loads = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            OrderSimulation.Result result = OrderSimulation.run(seed, Owned::of);
            loads += result.loads;
            int s = seed;
            result.faults.forEach((f, n) -> faults.merge(f, "seed " + s, (a, b) -> a + "," + s));
        }
        System.out.println("orders: " + SEEDS + " seeds, loads " + loads + ", faults " + faults);
        assertEquals(Map.of(), faults);
    }

    @Test
    void theBaselineInWhichEveryInstanceOrdersFailsTheSameCheck() {
        Map<String, Integer> faults = new TreeMap<>();
        for (int seed = 0; seed < 20; seed++) {
            OrderSimulation.run(seed, EveryInstanceOrders::of)
                    .faults
                    .keySet()
                    .forEach(f -> faults.merge(f, 1, Integer::sum));
        }
        System.out.println("orders, every instance orders: seeds of 20 with each fault " + faults);
        assertTrue(
                faults.keySet()
                        .containsAll(
                                Set.of("weights rate exceeded", "too few engines in service", "contradicting orders")),
                faults::toString);
    }

    private record Owned(OrderScheduler desk) implements OrderSimulation.Orders {
        static Owned of(ManualTicker ticker, LossyStore store, OrderAuthority authority) {
            return new Owned(OrderScheduler.of(ticker, store, authority));
        }

        @Override
        public List<Order> tick(PlacementPlan plan, Map<EndpointId, EngineView> engines) {
            return desk.tick(plan, OrderSimulation.RULES, engines);
        }

        @Override
        public Set<EndpointId> draining() {
            return desk.draining();
        }

        @Override
        public boolean maySend(Order order) {
            return desk.maySend(order);
        }

        @Override
        public void answered(Order order, OrderResult answer) {
            desk.answered(order, answer);
        }
    }

    /** The baseline: each instance orders what it sees differ from its plan, and repeats that every 5 s. */
    private record EveryInstanceOrders(ManualTicker ticker, Map<EndpointId, Long> last)
            implements OrderSimulation.Orders {
        static EveryInstanceOrders of(ManualTicker ticker, LossyStore store, OrderAuthority authority) {
            return new EveryInstanceOrders(ticker, new HashMap<>());
        }

        @Override
        public List<Order> tick(PlacementPlan plan, Map<EndpointId, EngineView> engines) {
            List<Order> orders = new ArrayList<>();
            long now = ticker.nanos();
            plan.targets().forEach((e, target) -> {
                boolean differs =
                        engines.containsKey(e) && !engines.get(e).reported().equals(target);
                if (differs
                        && now - last.getOrDefault(e, Long.MIN_VALUE / 2)
                                > Duration.ofSeconds(5).toNanos()) {
                    last.put(e, now);
                    boolean role = engines.get(e).reported().content().equals(target.content());
                    orders.add(new Order(
                            e, role ? Order.Kind.CHANGE_ROLE : Order.Kind.LOAD_MODEL, target, 1, Long.MAX_VALUE));
                }
            });
            return orders;
        }

        @Override
        public Set<EndpointId> draining() {
            return Set.of();
        }

        @Override
        public boolean maySend(Order order) {
            return true;
        }

        @Override
        public void answered(Order order, OrderResult answer) {
            // The baseline does not look at replies.
        }
    }
}
