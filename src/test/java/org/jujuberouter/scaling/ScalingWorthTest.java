package org.jujuberouter.scaling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.duty.InstanceDemand;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Guards against orders that cost more than callers gain, on the queueing model of the engines: 78 engines, bursts of 1.7
 * to 2.8 times the mean for 2 to 10 s, and a fifth of the engines that fails for 3 to 8 s about every 30 s.
 */
class ScalingWorthTest {
    private static final int SEEDS = 200;

    /** The engines are overloaded on these days, which takes the model ten times as long. */
    private static final int DOUBLED_SEEDS = 24;

    private static final long DAY_MS = 200_000;
    private static final long DOUBLED_AT_MS = 60_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final double MAX_LOSS = 0.01;
    private static final int LARGE_MIN = 31;
    private static final ScalingPolicy POLICY = ScalingPolicy.defaults();

    /** Lateness costs ten times as much as in fact. */
    private static final ScalingPolicy TOO_EAGER =
            new ScalingPolicy(150, 0.85, 0.18, 30_000, 4_000, 2, 300_000, 1.5, 2, 60_000, 16, 0.1);

    /** A deployment on one day; the load and the failures depend only on the seed. */
    private static final class Deployment {
        private static final int MAX = 52;
        private static final long BOOT_MS = 6_000;

        private final EngineQueueModel model = new EngineQueueModel(0);
        private final Map<FailureDomain, List<EngineQueueModel.Engine>> engines = new TreeMap<>();
        private final Map<FailureDomain, Integer> counts = new TreeMap<>();
        private final Map<FailureDomain, Long> bootedAt = new HashMap<>();
        private final int min;
        private final Optional<ScaleController> controller;
        private final Random events;
        private double engineSeconds;
        private double failsAtMs;
        private double backAtMs = NEVER;

        private Deployment(int seed, int min, Optional<ScalingPolicy> policy) {
            this.min = min;
            this.controller = policy.map(p -> ScaleController.of(p, new ScalingSite(p, 0, 0, 0)));
            this.events = new Random(seed);
            this.failsAtMs = exponential(30_000);
            ScalingSite.DOMAINS.forEach(d -> engines.put(d, new ArrayList<>()));
            ScalingSite.DOMAINS.forEach(d -> counts.put(d, 26));
        }

        private double exponential(double mean) {
            return -mean * StrictMath.log(1 - events.nextDouble());
        }

        /** Returns the value of the calls of a day less the cost of the engines, as a part of the value offered. */
        private double play(long doubledAtMs, Random arrivals) {
            double burst = 1;
            double changesAtMs = exponential(20_000);
            for (long now = 0; now < DAY_MS; now += (long) EngineQueueModel.STEP_MS) {
                if (now >= changesAtMs) {
                    burst = burst > 1 ? 1 : 1.7 + 1.1 * events.nextDouble();
                    changesAtMs = now + (burst > 1 ? 2_000 + 8_000 * events.nextDouble() : exponential(20_000));
                }
                if (now % 1_000 == 0) {
                    second(now);
                }
                model.step(now, now >= doubledAtMs ? 2 * burst : burst, arrivals);
            }
            return 1 - (model.lost + EngineQueueModel.ENGINE_COST * engineSeconds) / model.offered;
        }

        private void second(long now) {
            for (FailureDomain domain : ScalingSite.DOMAINS) {
                List<EngineQueueModel.Engine> present = engines.get(domain);
                while (present.size() > counts.get(domain)) {
                    model.engines.remove(present.removeLast());
                }
                while (present.size() < counts.get(domain) && now >= bootedAt.getOrDefault(domain, 0L)) {
                    present.add(new EngineQueueModel.Engine());
                    model.engines.add(present.getLast());
                }
                engineSeconds += counts.get(domain);
            }
            if (now >= failsAtMs) {
                IntStream.range(0, model.engines.size()).forEach(i -> model.engines.get(i).isDown = i % 5 == 2);
                backAtMs = now + 3_000 + 5_000 * events.nextDouble();
                failsAtMs = backAtMs + exponential(30_000);
            } else if (now >= backAtMs) {
                model.engines.forEach(e -> e.isDown = false);
                backAtMs = NEVER;
            }
            controller.ifPresent(c -> c.decide(now, inputs(now)).forEach(order -> execute(order, now)));
        }

        private ScalingInputs inputs(long now) {
            ServiceSpec service = new ServiceSpec(
                    ScalingSite.SERVICE,
                    "/health",
                    304,
                    26,
                    Optional.of(ScalingSite.ENGINE),
                    Optional.of(new ScalingSpec(min, MAX, BOOT_MS)));
            Map<FailureDomain, EngineCount> view = new TreeMap<>();
            List<InstanceDemand> reports = new ArrayList<>();
            engines.forEach((domain, present) -> {
                int usable = (int) present.stream().filter(e -> !e.isDown).count();
                view.put(domain, new EngineCount(present.size(), usable, 0));
                ServiceDemand demand = new ServiceDemand(
                        ScalingSite.SERVICE,
                        domain,
                        model.arrivedPrefillMs / 3,
                        model.arrivedSlotMs / 3,
                        model.waiting() / 3,
                        0);
                reports.add(new InstanceDemand(Incarnation.of(InstanceId.of("i-" + domain), 1), 0, List.of(demand)));
            });
            return new ScalingInputs(
                    List.of(service), Map.of(ScalingSite.SERVICE, view), Set.of(), reports.size(), reports);
        }

        private void execute(ScaleOrder order, long now) {
            controller.orElseThrow().orders().accepted(order, now);
            int count = Math.clamp(order.count(), min, MAX);
            if (count > counts.put(order.domain(), count)) {
                bootedAt.put(order.domain(), now + BOOT_MS);
            }
        }
    }

    /** Returns what orders add to the worth of the day of each seed. */
    private static double[] gains(int seeds, int min, long doubledAtMs, ScalingPolicy policy) {
        return IntStream.range(0, seeds)
                .parallel()
                .mapToDouble(seed -> new Deployment(seed, min, Optional.of(policy)).play(doubledAtMs, new Random(~seed))
                        - new Deployment(seed, min, Optional.empty()).play(doubledAtMs, new Random(~seed)))
                .toArray();
    }

    @Test
    void ordersNeverCostMuchMoreThanCallersGain() {
        for (int min : new int[] {LARGE_MIN, 2}) {
            double[] gains = gains(SEEDS, min, NEVER, POLICY);
            double worst = Arrays.stream(gains).min().orElseThrow();
            double mean = Arrays.stream(gains).average().orElseThrow();
            assertTrue(worst >= -MAX_LOSS, "minimum " + min + ": " + Arrays.toString(gains));
            assertTrue(min == LARGE_MIN || mean > 0, "minimum " + min + ": " + Arrays.toString(gains));
        }
        double[] eager = gains(20, LARGE_MIN, NEVER, TOO_EAGER);
        assertTrue(DoubleStream.of(eager).min().orElseThrow() < -MAX_LOSS, Arrays.toString(eager));
    }

    @Test
    void enginesThatNobodyNeedsAreRemoved() {
        double[] gains = gains(20, 2, NEVER, POLICY);
        assertTrue(DoubleStream.of(gains).sum() > 0, Arrays.toString(gains));
    }

    @Test
    void callersGainFromOrdersWhereTheLoadDoublesPermanently() {
        for (int min : new int[] {LARGE_MIN, 2}) {
            double[] gains = gains(DOUBLED_SEEDS, min, DOUBLED_AT_MS, POLICY);
            assertTrue(DoubleStream.of(gains).sum() > 0, "minimum " + min + ": " + Arrays.toString(gains));
        }
    }
}
