package org.jujuberouter.orders;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.ownership.MemberView;
import org.jujuberouter.ownership.Ownership;
import org.jujuberouter.ownership.OwnershipStatus;
import org.jujuberouter.ownership.Registration;
import org.jujuberouter.store.MemoryPlatformStore;

/** Simulates three instances with the production ownership and twelve engines through two plans in virtual time. */
final class OrderSimulation {
    static final LoadLimits LIMITS = new LoadLimits(3, 5, 0.25);
    private static final long STEP = Duration.ofMillis(50).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long END = 720 * SECOND;
    private static final long CHANGE = 200 * SECOND;

    /** The source of the orders of one instance: the scheduler, or the baseline with which it is compared. */
    interface OrderSource {
        List<Order> tick(PlacementPlan plan, Map<EndpointId, EngineView> engines);

        Set<EndpointId> draining();

        boolean maySend(Order order);

        void onResult(Order order, OrderResult result);
    }

    /** Creates the order source of one instance. */
    interface OrderSourceFactory {
        OrderSource create(ManualTicker ticker, LossyStore store, OrderAuthority authority);
    }

    /** The result of one run. */
    static final class RunResult {
        final Map<String, Integer> violations = new TreeMap<>();
        int loads;

        void addViolation(String violation) {
            violations.merge(violation, 1, Integer::sum);
        }
    }

    private record SentOrder(Order order, OrderingInstance by, long arrives, boolean reaches, boolean replyLost) {}

    private record OrderReply(Order order, OrderingInstance to, OrderResult outcome, long at) {}

    private final class OrderingInstance implements MemberView {
        final InstanceId id;
        final Registration registration;
        final Ownership ownership;
        final PlanSynchronizer synchronizer;
        final OrderSource orders;
        final Map<EndpointId, EngineView> views = new HashMap<>();
        final List<Order> toSend = new ArrayList<>();
        long pausedUntil;
        long versionDelay;

        OrderingInstance(String name, LossyStore store, OrderSourceFactory factory) {
            id = InstanceId.of(name);
            registration = Registration.of(ticker, store, id, name, random.split());
            ownership = Ownership.of(ticker, store, registration, this);
            synchronizer = PlanSynchronizer.of(ticker, store);
            orders = factory.create(ticker, store, this::fence);
            versionDelay = random.nextLong(8) * SECOND;
        }

        OptionalLong fence(EndpointId endpoint) {
            return ownership.status(endpoint) instanceof OwnershipStatus.Owner o && !o.lapsed() && o.exclusive()
                    ? OptionalLong.of(o.fence())
                    : OptionalLong.empty();
        }

        @Override
        public Collection<InstanceId> candidates(EndpointId endpoint) {
            // With split views, the last instance periodically considers itself the only candidate.
            boolean alone = splitViews && id.value().equals("c") && ticker.nanos() % (120 * SECOND) > 90 * SECOND;
            return instances.stream()
                    .filter(i -> i == this || !alone && ticker.nanos() - i.pausedUntil > 0)
                    .map(i -> i.id)
                    .toList();
        }

        @Override
        public long stableNanos() {
            return ticker.nanos();
        }

        @Override
        public long absentNanos(InstanceId instance) {
            return 0;
        }

        void step(long now) {
            for (Order order : toSend) {
                if (orders.maySend(order)) {
                    boolean reaches = random.nextDouble() > 0.1;
                    long delay = random.nextInt(10) == 0 ? 1500 : random.nextInt(20);
                    sentOrders.add(new SentOrder(
                            order, this, now + delay * 1_000_000, reaches, !reaches || random.nextDouble() < 0.2));
                } else {
                    orders.onResult(order, OrderResult.NOT_SENT);
                }
            }
            toSend.clear();
            if (now % (250_000_000L) == 0) {
                registration.tick();
                ownership.tick(engines.keySet());
                engines.forEach((e, engine) -> {
                    if (fence(e).isPresent() || now % SECOND == 0 && random.nextInt(3) > 0) {
                        views.put(e, engine.view(now));
                    }
                });
                int version = now - versionDelay < CHANGE ? 1 : 2;
                PlacementPlan plan = synchronizer.tick(
                        version, declarations(version), views, id.value().equals("a") || splitViews);
                toSend.addAll(orders.tick(plan, views));
            }
        }
    }

    private final ManualTicker ticker = ManualTicker.atZero();
    private final SplittableRandom random;
    private final boolean splitViews;
    private final Map<EndpointId, SimulatedLoadEngine> engines =
            new TreeMap<>(java.util.Comparator.comparing(EndpointId::value));
    private final List<OrderingInstance> instances = new ArrayList<>();
    private final List<SentOrder> sentOrders = new ArrayList<>();
    private final List<OrderReply> replies = new ArrayList<>();
    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private final RunResult result = new RunResult();

    private OrderSimulation(long seed, OrderSourceFactory factory) {
        random = new SplittableRandom(seed);
        splitViews = seed % 2 == 1;
        LossyStore store = new LossyStore(MemoryPlatformStore.create(ticker), random.split(), seed % 3 == 0 ? 0 : 0.1);
        for (int i = 0; i < 12; i++) {
            EndpointId id = EndpointId.of("e" + (10 + i));
            engines.put(id, new SimulatedLoadEngine(id, random.nextInt(2) == 0));
        }
        for (String name : List.of("a", "b", "c")) {
            instances.add(new OrderingInstance(name, store, factory));
        }
    }

    static RunResult run(long seed, OrderSourceFactory factory) {
        return new OrderSimulation(seed, factory).run();
    }

    private static Map<org.jujuberouter.id.ServiceName, List<ModelDeclaration>> declarations(int version) {
        return Map.of(
                SimulatedLoadEngine.SERVICE,
                List.of(
                        new ModelDeclaration("alpha", "v" + version, List.of(), version == 1 ? 2 : 3, 0.25),
                        new ModelDeclaration("beta", "v1", List.of("x", "y"), 1, 0)));
    }

    private RunResult run() {
        for (long now = 0; now < END; now += STEP) {
            ticker.advanceTo(now);
            long at = now;
            engines.values().forEach(e -> e.advance(at));
            deliver(now);
            boolean calm = now > END - 300 * SECOND;
            for (OrderingInstance i : instances) {
                if (!calm && now >= i.pausedUntil && random.nextInt(1200) == 0) {
                    i.pausedUntil = now + random.nextLong(16) * SECOND;
                }
                if (now >= i.pausedUntil) {
                    i.step(now);
                }
            }
            if (!calm && random.nextInt(3000) == 0) {
                engines.get(EndpointId.of("e" + (10 + random.nextInt(12)))).restart();
            }
            placeWork(now);
            check(now);
        }
        PlacementPlan plan =
                instances.getFirst().synchronizer.tick(2, declarations(2), instances.getFirst().views, false);
        engines.forEach((id, e) -> {
            if (!e.config.equals(plan.targets().get(id))) {
                result.addViolation("target not reached");
            }
        });
        if (plan.settingsVersion() != 2
                || instances.stream().anyMatch(i -> !i.orders.draining().isEmpty())) {
            result.addViolation("loads left open");
        }
        return result;
    }

    private void deliver(long now) {
        for (Iterator<SentOrder> all = sentOrders.iterator(); all.hasNext(); ) {
            SentOrder sent = all.next();
            if (sent.arrives() > now) {
                continue;
            }
            all.remove();
            SimulatedLoadEngine engine = engines.get(sent.order().endpoint());
            boolean stale = engine.checksFencing && sent.order().fence() < engine.fence;
            if (sent.reaches() && !stale) {
                arrive(engine, sent.order(), now);
            }
            OrderResult outcome = stale ? OrderResult.STALE : OrderResult.ACCEPTED;
            long at = sent.replyLost() ? now + 2 * SECOND : now;
            replies.add(new OrderReply(sent.order(), sent.by(), sent.replyLost() ? OrderResult.UNKNOWN : outcome, at));
        }
        for (Iterator<OrderReply> all = replies.iterator(); all.hasNext(); ) {
            OrderReply r = all.next();
            if (now >= r.at() && now >= r.to().pausedUntil) {
                r.to().orders.onResult(r.order(), r.outcome());
                all.remove();
            }
        }
    }

    private void arrive(SimulatedLoadEngine engine, Order order, long now) {
        ModelSpec spec = order.target().spec();
        boolean conflicting = sentOrders.stream()
                .anyMatch(sent -> sent.order().endpoint().equals(engine.id)
                        && !sent.order().target().spec().equals(spec));
        if (conflicting || engine.loading != null && !engine.loading.spec().equals(spec)) {
            result.addViolation("contradicting orders");
        }
        if (order.kind() != Order.Kind.CHANGE_ROLE && engine.workUntil > now) {
            result.addViolation("load while work runs");
        }
        if (engine.receive(order, now)) {
            result.loads++;
            starts.add(now);
        }
    }

    /** Lets owners place work on engines that they do not drain. */
    private void placeWork(long now) {
        for (OrderingInstance i : instances) {
            for (SimulatedLoadEngine e : engines.values()) {
                boolean open = now >= i.pausedUntil && i.fence(e.id).isPresent();
                if (open && !i.orders.draining().contains(e.id) && e.view(now).inService() && random.nextInt(40) == 0) {
                    e.workUntil = Math.max(e.workUntil, now + random.nextLong(8 * SECOND));
                }
            }
        }
    }

    private void check(long now) {
        while (!starts.isEmpty() && now - starts.getFirst() >= 60 * SECOND) {
            starts.removeFirst();
        }
        if (starts.size() > LIMITS.loadsPerMinute()) {
            result.addViolation("weights rate exceeded");
        }
        if (engines.values().stream().filter(e -> e.loading != null).count() > LIMITS.loadsAtOnce()) {
            result.addViolation("too many loads at once");
        }
        for (String model : List.of("alpha", "beta")) {
            int all = 0;
            int out = 0;
            for (SimulatedLoadEngine e : engines.values()) {
                boolean drained =
                        instances.stream().anyMatch(i -> i.orders.draining().contains(e.id));
                all += e.config.spec().model().equals(model) ? 1 : 0;
                out += e.isOutOfService(model, drained, now) ? 1 : 0;
            }
            if (out > LIMITS.maxOutOfService(all)) {
                result.addViolation("too few engines in service");
            }
        }
    }
}
