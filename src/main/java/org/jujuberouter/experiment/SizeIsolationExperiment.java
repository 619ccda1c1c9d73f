package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.experiment.Measurement.LengthClass;
import org.jujuberouter.experiment.Workload.Mix;
import org.jujuberouter.routing.PromptSize;

/** Measures how long short requests wait because of long ones, with and without lanes and the long subset. */
public final class SizeIsolationExperiment {
    private final int requests;

    private SizeIsolationExperiment(int requests) {
        this.requests = requests;
    }

    /** Returns an experiment with the given number of requests for each mix and setup. */
    public static SizeIsolationExperiment of(int requests) {
        return new SizeIsolationExperiment(requests);
    }

    /**
     * One row of the result.
     *
     * @param mix the mix of requests
     * @param setup what was switched on
     * @param measurement what it showed
     * @param shortAdded what long prompts add to the 95th percentile of the short ones, as a part of it
     */
    public record Row(Mix mix, String setup, Measurement measurement, double shortAdded) {}

    /** Runs all setups on all mixes. */
    public List<Row> run(long seed) {
        return List.of(Mix.values()).stream()
                .flatMap(mix -> run(mix, seed).stream())
                .toList();
    }

    List<Row> run(Mix mix, long seed) {
        List<Workload.Arrival> arrivals = Workload.of(mix, seed, requests);
        List<Workload.Arrival> withoutLong = arrivals.stream()
                .filter(a -> PromptSize.ofPrompt(a.promptTokens()) != PromptSize.LONG)
                .toList();
        Map<String, FleetSetup> setups = new LinkedHashMap<>();
        setups.put("neither", new FleetSetup(mix.engines(), false, false, true, ""));
        setups.put("lanes", new FleetSetup(mix.engines(), true, false, true, ""));
        setups.put("lanes and subset", new FleetSetup(mix.engines(), true, true, true, ""));
        FleetSetup quiet = new FleetSetup(mix.engines(), true, true, true, "");
        Measurement base = VirtualFleet.run(quiet, seed, withoutLong);
        double baseShort = base.shortFirstTokenMillis(0.95);
        List<Row> rows = new java.util.ArrayList<>();
        rows.add(new Row(mix, "no long prompts", base, 0));
        setups.forEach((name, setup) -> {
            Measurement m = VirtualFleet.run(setup, seed, arrivals);
            rows.add(new Row(mix, name, m, m.shortFirstTokenMillis(0.95) / baseShort - 1));
        });
        return rows;
    }

    /** Prints the rows as a table. */
    public static void print(List<Row> rows, PrintStream out) {
        out.printf(
                "%-14s %-18s %9s %7s %7s %8s %8s %9s %9s %8s%n",
                "mix", "setup", "short p95", "added", "<1.2 s", "1k p95", "10k p95", "100k p95", "1M p95", "gap p95");
        for (Row row : rows) {
            Measurement m = row.measurement();
            out.printf(
                    "%-14s %-18s %9.0f %6.1f%% %6.1f%% %8.0f %8.0f %9.0f %9.0f %8.1f%n",
                    row.mix(),
                    row.setup(),
                    m.shortFirstTokenMillis(0.95),
                    100 * row.shortAdded(),
                    100 * m.withinTarget(),
                    m.firstTokenMillis(LengthClass.UP_TO_2K, 0.95),
                    m.firstTokenMillis(LengthClass.UP_TO_20K, 0.95),
                    m.firstTokenMillis(LengthClass.UP_TO_200K, 0.95),
                    m.firstTokenMillis(LengthClass.ABOVE, 0.95),
                    m.betweenTokensMillis(0.95));
        }
    }
}
