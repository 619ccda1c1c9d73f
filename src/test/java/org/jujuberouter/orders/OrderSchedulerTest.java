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
 * Tests that orders do not conflict, take too many engines out of service or overload the weights store, and that the
 * declared placement is reached.
 */
class OrderSchedulerTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void reachesTheDeclaredPlacementWithinAllLimits() {
        Map<String, String> violations = new TreeMap<>();
        int loads = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            OrderSimulation.RunResult result = OrderSimulation.run(seed, OwnerOrders::of);
            loads += result.loads;
            int s = seed;
            result.violations.forEach((f, n) -> violations.merge(f, "seed " + s, (a, b) -> a + "," + s));
        }
        System.out.println("orders: " + SEEDS + " seeds, loads " + loads + ", faults " + violations);
        assertEquals(Map.of(), violations);
    }

    @Test
    void detectsViolationsOfABaselineInWhichEveryInstanceSendsOrders() {
        Map<String, Integer> violations = new TreeMap<>();
        for (int seed = 0; seed < 20; seed++) {
            OrderSimulation.run(seed, EveryInstanceOrders::of)
                    .violations
                    .keySet()
                    .forEach(f -> violations.merge(f, 1, Integer::sum));
        }
        System.out.println("orders, every instance orders: seeds of 20 with each fault " + violations);
        assertTrue(
                violations
                        .keySet()
                        .containsAll(
                                Set.of("weights rate exceeded", "too few engines in service", "contradicting orders")),
                violations::toString);
    }

    private record OwnerOrders(OrderScheduler scheduler) implements OrderSimulation.OrderSource {
        static OwnerOrders of(ManualTicker ticker, LossyStore store, OrderAuthority authority) {
            return new OwnerOrders(OrderScheduler.of(ticker, store, authority));
        }

        @Override
        public List<Order> tick(PlacementPlan plan, Map<EndpointId, EngineView> engines) {
            return scheduler.tick(plan, OrderSimulation.LIMITS, engines);
        }

        @Override
        public Set<EndpointId> draining() {
            return scheduler.draining();
        }

        @Override
        public boolean maySend(Order order) {
            return scheduler.maySend(order);
        }

        @Override
        public void onResult(Order order, OrderResult result) {
            scheduler.onResult(order, result);
        }
    }

    /** Baseline: each instance sends an order for every difference from its plan and repeats it every 5 s. */
    private record EveryInstanceOrders(ManualTicker ticker, Map<EndpointId, Long> last)
            implements OrderSimulation.OrderSource {
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
                    boolean role = engines.get(e).reported().spec().equals(target.spec());
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
        public void onResult(Order order, OrderResult result) {
            // The baseline ignores results.
        }
    }
}
