package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.duty.InstanceDemand;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ServiceName;

/** A simulated deployment of one service in three failure domains whose engines process load as a fluid. */
final class ScalingSite implements ScalingObserver {
    static final ServiceName SERVICE = ServiceName.of("assistant");
    static final List<FailureDomain> DOMAINS =
            List.of(FailureDomain.of("east"), FailureDomain.of("north"), FailureDomain.of("south"));
    static final EngineCostModel ENGINE = new EngineCostModel(8, 400_000, 52, 0.925, 0.007, 0.0025, 256, 0.0917, 2_048);
    static final long BOOT_MS = 8_000;
    static final int INSTANCES = 9;

    private static final long STEP_MS = 100;
    private static final long COLD_MS = 2_000;
    private static final int MAX = 60;

    /** Engine time of a long prompt; such prompts make the measured load fluctuate. */
    private static final double LONG_CALL_MS = 6_000;

    private static final double LONG_CALL_PART = 0.45;

    record Event(long atMs, int change, ScaleOrder order) {}

    final ScaleController controller;
    final List<Event> events = new ArrayList<>();
    final Set<FailureDomain> takenOut = new HashSet<>();
    final Map<FailureDomain, Integer> wanted = new HashMap<>();
    final double[] shares = {1 / 3.0, 1 / 3.0, 1 / 3.0};
    int silentInstances;
    boolean losesOrders;
    long nowMs;
    double longestWaitMs;
    long longestQueueMs;

    private final int min;
    private final Random random;
    private final Map<FailureDomain, List<Long>> registeredAt = new TreeMap<>();
    private final double[] workMs = new double[INSTANCES];
    private final InstanceDemand[] reports = new InstanceDemand[INSTANCES];
    private final long[] reportedAtMs = new long[INSTANCES];
    private double backlogMs;
    private long queuedSinceMs;

    ScalingSite(ScalingPolicy policy, int enginesPerDomain, int min, long seed) {
        this.controller = ScaleController.of(policy, this);
        this.min = min;
        this.random = new Random(seed);
        DOMAINS.forEach(d -> registeredAt.put(d, new ArrayList<>()));
        DOMAINS.forEach(d -> setEngines(d, enginesPerDomain, -COLD_MS));
    }

    ServiceSpec service() {
        ScalingSpec bounds = new ScalingSpec(min, MAX, BOOT_MS);
        return new ServiceSpec(SERVICE, "/health", 304, 26, Optional.of(ENGINE), Optional.of(bounds));
    }

    /** Plays the load, in busy engines at each second, until the given second. */
    void play(double untilS, DoubleUnaryOperator load) {
        while (nowMs < untilS * 1_000) {
            nowMs += STEP_MS;
            double engines = load.applyAsDouble(nowMs / 1_000.0);
            arrive(engines);
            serve(engines);
            for (int i = 0; i < INSTANCES - silentInstances; i++) {
                if (nowMs % 1_000 == i * STEP_MS) {
                    reports[i] = report(i);
                    reportedAtMs[i] = nowMs;
                }
            }
            if (nowMs % 1_000 == 500) {
                controller.decide(nowMs, inputs()).forEach(this::execute);
            }
        }
    }

    private void arrive(double engines) {
        double arrivedMs = engines * STEP_MS;
        for (int i = 0; i < INSTANCES; i++) {
            workMs[i] += arrivedMs * (1 - LONG_CALL_PART) * shares[i % 3] * 3 / INSTANCES;
        }
        double longCalls = arrivedMs * LONG_CALL_PART / LONG_CALL_MS;
        // The number of arrivals is Poisson distributed; the product of uniform variates falls below exp(-mean) after
        // it.
        double product = random.nextDouble();
        while (product > Math.exp(-longCalls)) {
            workMs[random.nextInt(INSTANCES)] += LONG_CALL_MS;
            product *= random.nextDouble();
        }
    }

    private void serve(double engines) {
        int usable = DOMAINS.stream().mapToInt(d -> count(d).usable()).sum();
        backlogMs = Math.max(0, backlogMs + (engines - usable) * STEP_MS);
        queuedSinceMs = backlogMs == 0 ? nowMs : queuedSinceMs;
        longestQueueMs = Math.max(longestQueueMs, nowMs - queuedSinceMs);
        longestWaitMs = Math.max(longestWaitMs, backlogMs / Math.max(1, usable));
    }

    private InstanceDemand report(int i) {
        int waiting = (int) (backlogMs / 100 / INSTANCES);
        double half = workMs[i] / 2;
        ServiceDemand demand = new ServiceDemand(SERVICE, DOMAINS.get(i % 3), half, half * ENGINE.slots(), waiting, 0);
        return new InstanceDemand(Incarnation.of(InstanceId.of("i" + i), 1), 0, List.of(demand));
    }

    ScalingInputs inputs() {
        Map<FailureDomain, EngineCount> counts = new TreeMap<>();
        DOMAINS.forEach(d -> counts.put(d, count(d)));
        List<InstanceDemand> known = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            if (reports[i] != null) {
                known.add(new InstanceDemand(reports[i].source(), nowMs - reportedAtMs[i], reports[i].demand()));
            }
        }
        return new ScalingInputs(List.of(service()), Map.of(SERVICE, counts), Set.copyOf(takenOut), INSTANCES, known);
    }

    EngineCount count(FailureDomain domain) {
        int registered = 0;
        int usable = 0;
        for (long at : registeredAt.get(domain)) {
            registered += nowMs >= at ? 1 : 0;
            usable += nowMs >= at + COLD_MS ? 1 : 0;
        }
        return new EngineCount(registered, takenOut.contains(domain) ? 0 : usable, registered - usable);
    }

    int engines() {
        return DOMAINS.stream().mapToInt(d -> registeredAt.get(d).size()).sum();
    }

    /** Makes the engines of a domain cold, as if they had just registered. */
    void makeCold(FailureDomain domain) {
        registeredAt.get(domain).replaceAll(_ -> nowMs);
    }

    private void execute(ScaleOrder order) {
        int before = registeredAt.get(order.domain()).size();
        events.add(new Event(nowMs, order.count() - before, order));
        if (!losesOrders) {
            controller.orders().accepted(order, nowMs);
            setEngines(order.domain(), Math.clamp(order.count(), min, MAX), nowMs + BOOT_MS);
        }
    }

    private void setEngines(FailureDomain domain, int count, long atMs) {
        List<Long> engines = registeredAt.get(domain);
        while (engines.size() > count) {
            engines.removeLast();
        }
        while (engines.size() < count) {
            engines.addLast(atMs);
        }
    }

    @Override
    public void engines(ServiceName service, FailureDomain domain, int desired, int registered) {
        wanted.put(domain, desired);
    }

    @Override
    public void ordered(ScaleOrder order, int registered, String reason, double load) {}
}
