package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.experiment.Measurement.LengthClass;
import org.jujuberouter.experiment.Workload.Mix;

/** Compares routing with random choice, power of two choices and the least loaded engine. */
public final class RoutingExperiment {
    private static final String ROUTER = "router";

    private final int requests;

    private RoutingExperiment(int requests) {
        this.requests = requests;
    }

    /** Returns an experiment with the given number of requests for each mix and policy. */
    public static RoutingExperiment of(int requests) {
        return new RoutingExperiment(requests);
    }

    /**
     * One row of the result.
     *
     * @param mix the mix of requests
     * @param policy the policy
     * @param measurement what it showed
     */
    public record Row(Mix mix, String policy, Measurement measurement) {}

    /** Runs all policies on all mixes; all of them have lanes, so that only the choice of engines differs. */
    public List<Row> run(long seed) {
        return List.of(Mix.values()).stream()
                .flatMap(mix -> run(mix, seed).stream())
                .toList();
    }

    List<Row> run(Mix mix, long seed) {
        List<Workload.Arrival> arrivals = Workload.of(mix, seed, requests);
        Map<String, FleetSetup> setups = new LinkedHashMap<>();
        setups.put("random", new FleetSetup(mix.engines(), true, false, false, "RANDOM"));
        setups.put("two choices", new FleetSetup(mix.engines(), true, false, false, "TWO_CHOICES"));
        setups.put("least loaded", new FleetSetup(mix.engines(), true, false, false, "LEAST_LOADED"));
        setups.put("router, no events", new FleetSetup(mix.engines(), true, true, false, ""));
        setups.put(ROUTER, new FleetSetup(mix.engines(), true, true, true, ""));
        return setups.entrySet().stream()
                .map(e -> new Row(mix, e.getKey(), VirtualFleet.run(e.getValue(), seed, arrivals)))
                .toList();
    }

    /** Prints the rows as a table. */
    public static void print(List<Row> rows, PrintStream out) {
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
        for (Row row : rows) {
            Measurement m = row.measurement();
            out.printf(
                    "%-14s %-18s %6.1f%% %7.2f %6.1f%% %7.0f %7.0f %8.0f %8.0f %8.0f %8.0f %8.1f%n",
                    row.mix(),
                    row.policy(),
                    100 * m.cachedPart(),
                    m.imbalance(),
                    100 * m.withinTarget(),
                    m.firstTokenMillis(0.5),
                    m.firstTokenMillis(0.95),
                    m.firstTokenMillis(LengthClass.UP_TO_2K, 0.95),
                    m.firstTokenMillis(LengthClass.UP_TO_20K, 0.95),
                    m.firstTokenMillis(LengthClass.UP_TO_200K, 0.95),
                    m.firstTokenMillis(LengthClass.ABOVE, 0.95),
                    m.betweenTokensMillis(0.95));
        }
    }
}
