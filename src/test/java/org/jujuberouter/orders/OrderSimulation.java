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

/** Three instances with the real ownership, twelve engines and two changes of the declared placement, in virtual time. */
final class OrderSimulation {
    static final LoadLimits RULES = new LoadLimits(3, 5, 0.25);
    private static final long STEP = Duration.ofMillis(50).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long END = 720 * SECOND;
    private static final long CHANGE = 200 * SECOND;

    /** What gives the orders of one instance: the desk, or the baseline that it is compared with. */
    interface Orders {
        List<Order> tick(PlacementPlan plan, Map<EndpointId, EngineView> engines);

        Set<EndpointId> draining();

        boolean maySend(Order order);

        void answered(Order order, OrderResult answer);
    }

    /** Makes the orders of one instance. */
    interface Maker {
        Orders make(ManualTicker ticker, LossyStore store, OrderAuthority authority);
    }

    /** What happened in one run. */
    static final class Result {
        final Map<String, Integer> faults = new TreeMap<>();
        int loads;

        void fault(String what) {
            faults.merge(what, 1, Integer::sum);
        }
    }

    private record Flight(Order order, Instance by, long arrives, boolean reaches, boolean replyLost) {}

    private record Reply(Order order, Instance to, OrderResult answer, long at) {}

    private final class Instance implements MemberView {
        final InstanceId id;
        final Registration registration;
        final Ownership ownership;
        final PlanSynchronizer keeper;
        final Orders orders;
        final Map<EndpointId, EngineView> views = new HashMap<>();
        final List<Order> toSend = new ArrayList<>();
        long pausedUntil;
        long versionDelay;

        Instance(String name, LossyStore store, Maker maker) {
            id = InstanceId.of(name);
            registration = Registration.of(ticker, store, id, name, random.split());
            ownership = Ownership.of(ticker, store, registration, this);
            keeper = PlanSynchronizer.of(ticker, store);
            orders = maker.make(ticker, store, this::fence);
            versionDelay = random.nextLong(8) * SECOND;
        }

        OptionalLong fence(EndpointId endpoint) {
            return ownership.status(endpoint) instanceof OwnershipStatus.Owner o && !o.lapsed() && o.exclusive()
                    ? OptionalLong.of(o.fence())
                    : OptionalLong.empty();
        }

        @Override
        public Collection<InstanceId> candidates(EndpointId endpoint) {
            // With two would-be owners the last instance sees nobody else for a while.
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
                    flights.add(new Flight(
                            order, this, now + delay * 1_000_000, reaches, !reaches || random.nextDouble() < 0.2));
                } else {
                    orders.answered(order, OrderResult.NOT_SENT);
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
                PlacementPlan plan =
                        keeper.tick(version, offers(version), views, id.value().equals("a") || splitViews);
                toSend.addAll(orders.tick(plan, views));
            }
        }
    }

    private final ManualTicker ticker = ManualTicker.atZero();
    private final SplittableRandom random;
    private final boolean splitViews;
    private final Map<EndpointId, SimulatedLoadEngine> engines =
            new TreeMap<>(java.util.Comparator.comparing(EndpointId::value));
    private final List<Instance> instances = new ArrayList<>();
    private final List<Flight> flights = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private final Result result = new Result();

    private OrderSimulation(long seed, Maker maker) {
        random = new SplittableRandom(seed);
        splitViews = seed % 2 == 1;
        LossyStore store = new LossyStore(MemoryPlatformStore.create(ticker), random.split(), seed % 3 == 0 ? 0 : 0.1);
        for (int i = 0; i < 12; i++) {
            EndpointId id = EndpointId.of("e" + (10 + i));
            engines.put(id, new SimulatedLoadEngine(id, random.nextInt(2) == 0));
        }
        for (String name : List.of("a", "b", "c")) {
            instances.add(new Instance(name, store, maker));
        }
    }

    static Result run(long seed, Maker maker) {
        return new OrderSimulation(seed, maker).run();
    }

    private static Map<org.jujuberouter.id.ServiceName, List<ModelDeclaration>> offers(int version) {
        return Map.of(
                SimulatedLoadEngine.SERVICE,
                List.of(
                        new ModelDeclaration("alpha", "v" + version, List.of(), version == 1 ? 2 : 3, 0.25),
                        new ModelDeclaration("beta", "v1", List.of("x", "y"), 1, 0)));
    }

    private Result run() {
        for (long now = 0; now < END; now += STEP) {
            ticker.advanceTo(now);
            long at = now;
            engines.values().forEach(e -> e.advance(at));
            deliver(now);
            boolean calm = now > END - 300 * SECOND;
            for (Instance i : instances) {
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
            work(now);
            check(now);
        }
        PlacementPlan plan = instances.getFirst().keeper.tick(2, offers(2), instances.getFirst().views, false);
        engines.forEach((id, e) -> {
            if (!e.is.equals(plan.targets().get(id))) {
                result.fault("target not reached");
            }
        });
        if (plan.settingsVersion() != 2
                || instances.stream().anyMatch(i -> !i.orders.draining().isEmpty())) {
            result.fault("loads left open");
        }
        return result;
    }

    private void deliver(long now) {
        for (Iterator<Flight> all = flights.iterator(); all.hasNext(); ) {
            Flight f = all.next();
            if (f.arrives() > now) {
                continue;
            }
            all.remove();
            SimulatedLoadEngine engine = engines.get(f.order().endpoint());
            boolean stale = engine.checksFencing && f.order().fence() < engine.fence;
            if (f.reaches() && !stale) {
                arrive(engine, f.order(), now);
            }
            OrderResult answer = stale ? OrderResult.STALE : OrderResult.ACCEPTED;
            long at = f.replyLost() ? now + 2 * SECOND : now;
            replies.add(new Reply(f.order(), f.by(), f.replyLost() ? OrderResult.UNKNOWN : answer, at));
        }
        for (Iterator<Reply> all = replies.iterator(); all.hasNext(); ) {
            Reply r = all.next();
            if (now >= r.at() && now >= r.to().pausedUntil) {
                r.to().orders.answered(r.order(), r.answer());
                all.remove();
            }
        }
    }

    private void arrive(SimulatedLoadEngine engine, Order order, long now) {
        ModelSpec content = order.target().content();
        boolean crossing = flights.stream()
                .anyMatch(f -> f.order().endpoint().equals(engine.id)
                        && !f.order().target().content().equals(content));
        if (crossing || engine.loading != null && !engine.loading.content().equals(content)) {
            result.fault("contradicting orders");
        }
        if (order.kind() != Order.Kind.CHANGE_ROLE && engine.workUntil > now) {
            result.fault("load while work runs");
        }
        if (engine.order(order, now)) {
            result.loads++;
            starts.add(now);
        }
    }

    /** Owners place work on what they do not drain. */
    private void work(long now) {
        for (Instance i : instances) {
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
        if (starts.size() > RULES.loadsPerMinute()) {
            result.fault("weights rate exceeded");
        }
        if (engines.values().stream().filter(e -> e.loading != null).count() > RULES.loadsAtOnce()) {
            result.fault("too many loads at once");
        }
        for (String model : List.of("alpha", "beta")) {
            int all = 0;
            int out = 0;
            for (SimulatedLoadEngine e : engines.values()) {
                boolean drained =
                        instances.stream().anyMatch(i -> i.orders.draining().contains(e.id));
                all += e.is.content().model().equals(model) ? 1 : 0;
                out += e.outOf(model, drained, now) ? 1 : 0;
            }
            if (out > RULES.allowedOut(all)) {
                result.fault("too few engines in service");
            }
        }
    }
}
