package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.experiment.SimulationMetrics.LengthBucket;
import org.jujuberouter.experiment.Workload.TrafficMix;
import org.jujuberouter.routing.PromptSize;

/**
 * Measures how much long prompts delay short ones, with and without two measures: the isolation of size classes, which
 * the printed table calls lanes, and the confinement of long prompts to a subset of the engines.
 */
public final class SizeIsolationExperiment {
    private final int requests;

    private SizeIsolationExperiment(int requests) {
        this.requests = requests;
    }

    /** Returns an experiment with the given number of requests for each traffic mix and setup. */
    public static SizeIsolationExperiment of(int requests) {
        return new SizeIsolationExperiment(requests);
    }

    /**
     * The result of one setup on one traffic mix.
     *
     * @param mix the traffic mix
     * @param setup name of the setup, as printed
     * @param metrics metrics of the simulation
     * @param shortP95Increase relative increase of the 95th percentile of the time to first token of short prompts over
     *     a run without long prompts
     */
    public record IsolationResult(TrafficMix mix, String setup, SimulationMetrics metrics, double shortP95Increase) {}

    /** Runs all setups on all mixes. */
    public List<IsolationResult> run(long seed) {
        return List.of(TrafficMix.values()).stream()
                .flatMap(mix -> run(mix, seed).stream())
                .toList();
    }

    List<IsolationResult> run(TrafficMix mix, long seed) {
        List<Workload.Arrival> arrivals = Workload.generate(mix, seed, requests);
        List<Workload.Arrival> withoutLong = arrivals.stream()
                .filter(a -> PromptSize.ofPrompt(a.promptTokens()) != PromptSize.LONG)
                .toList();
        Map<String, FleetConfig> configs = new LinkedHashMap<>();
        configs.put("neither", new FleetConfig(mix.engines(), false, false, true, ""));
        configs.put("lanes", new FleetConfig(mix.engines(), true, false, true, ""));
        configs.put("lanes and subset", new FleetConfig(mix.engines(), true, true, true, ""));
        FleetConfig baselineConfig = new FleetConfig(mix.engines(), true, true, true, "");
        SimulationMetrics baseline = FleetSimulator.run(baselineConfig, seed, withoutLong);
        double baselineShortP95 = baseline.shortFirstTokenMillis(0.95);
        List<IsolationResult> rows = new java.util.ArrayList<>();
        rows.add(new IsolationResult(mix, "no long prompts", baseline, 0));
        configs.forEach((name, config) -> {
            SimulationMetrics metrics = FleetSimulator.run(config, seed, arrivals);
            rows.add(new IsolationResult(
                    mix, name, metrics, metrics.shortFirstTokenMillis(0.95) / baselineShortP95 - 1));
        });
        return rows;
    }

    /** Prints the rows as a table. */
    public static void print(List<IsolationResult> rows, PrintStream out) {
        out.printf(
                "%-14s %-18s %9s %7s %7s %8s %8s %9s %9s %8s%n",
                "mix", "setup", "short p95", "added", "<1.2 s", "1k p95", "10k p95", "100k p95", "1M p95", "gap p95");
        for (IsolationResult row : rows) {
            SimulationMetrics metrics = row.metrics();
            out.printf(
                    "%-14s %-18s %9.0f %6.1f%% %6.1f%% %8.0f %8.0f %9.0f %9.0f %8.1f%n",
                    row.mix(),
                    row.setup(),
                    metrics.shortFirstTokenMillis(0.95),
                    100 * row.shortP95Increase(),
                    100 * metrics.shareWithinTarget(),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_2K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_20K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.UP_TO_200K, 0.95),
                    metrics.firstTokenMillis(LengthBucket.ABOVE, 0.95),
                    metrics.interTokenMillis(0.95));
        }
    }
}
