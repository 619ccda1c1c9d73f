package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.experiment.SimulationMetrics.LengthBucket;
import org.jujuberouter.experiment.Workload.TrafficMix;

/** Compares the router with random choice, the power of two choices and the choice of the least loaded engine. */
public final class RoutingExperiment {
    private static final String ROUTER = "router";

    private final int requests;

    private RoutingExperiment(int requests) {
        this.requests = requests;
    }

    /** Returns an experiment with the given number of requests for each traffic mix and policy. */
    public static RoutingExperiment of(int requests) {
        return new RoutingExperiment(requests);
    }

    /**
     * The result of one policy on one traffic mix.
     *
     * @param mix the traffic mix
     * @param policy name of the policy, as printed
     * @param metrics metrics of the simulation
     */
    public record PolicyResult(TrafficMix mix, String policy, SimulationMetrics metrics) {}

    /** Runs all policies on all mixes. All isolate size classes, so that only the choice of engines differs. */
    public List<PolicyResult> run(long seed) {
        return List.of(TrafficMix.values()).stream()
                .flatMap(mix -> run(mix, seed).stream())
                .toList();
    }

    List<PolicyResult> run(TrafficMix mix, long seed) {
        List<Workload.Arrival> arrivals = Workload.generate(mix, seed, requests);
        Map<String, FleetConfig> configs = new LinkedHashMap<>();
        configs.put("random", new FleetConfig(mix.engines(), true, false, false, "RANDOM"));
        configs.put("two choices", new FleetConfig(mix.engines(), true, false, false, "TWO_CHOICES"));
        configs.put("least loaded", new FleetConfig(mix.engines(), true, false, false, "LEAST_LOADED"));
        configs.put("router, no events", new FleetConfig(mix.engines(), true, true, false, ""));
        configs.put(ROUTER, new FleetConfig(mix.engines(), true, true, true, ""));
        return configs.entrySet().stream()
                .map(e -> new PolicyResult(mix, e.getKey(), FleetSimulator.run(e.getValue(), seed, arrivals)))
                .toList();
    }

    /** Prints the rows as a table. */
    public static void print(List<PolicyResult> rows, PrintStream out) {
        out.printf(
                "%-14s %-18s %7s %7s %7s %7s %7s %8s %8s %8s %8s %8s%n",
                "mix",
                "policy",
                "cached",
                "imbal.",
                "<1.2 s",
                "p50 ms",
                "p95 ms",
                "1k p95",
                "10k p95",
                "100k p95",
                "1M p95",
                "gap p95");
        for (PolicyResult row : rows) {
            SimulationMetrics metrics = row.metrics();
            out.printf(
                    "%-14s %-18s %6.1f%% %7.2f %6.1f%% %7.0f %7.0f %8.0f %8.0f %8.0f %8.0f %8.1f%n",
                    row.mix(),
                    row.policy(),
                    100 * metrics.cachedShare(),
                    metrics.imbalance(),
                    100 * metrics.shareWithinTarget(),
                    metrics.firstTokenMillis(0.5),
                    metrics.firstTokenMillis(0.95),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_2K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_20K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_200K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.ABOVE, 0.95),
                    metrics.interTokenMillis(0.95));
        }
    }
}
