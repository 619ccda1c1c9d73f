package org.jujuberouter.report;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Collects what the report needs, by objective and scope, from recorded requests and from metrics. */
public final class BurnReportBuilder {
    private static final String ALL = "all";

    private final List<Objective> objectives;
    private final Map<Objective, Map<String, List<Tally>>> tallies = new LinkedHashMap<>();
    private final Map<String, MetricsText> lastByInstance = new LinkedHashMap<>();
    private long first = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;

    private BurnReportBuilder(List<Objective> objectives) {
        this.objectives = List.copyOf(objectives);
        this.objectives.forEach(o -> tallies.put(o, new TreeMap<>(Map.of(ALL, new ArrayList<>()))));
    }

    /** Returns an empty input for the objectives. */
    public static BurnReportBuilder of(List<Objective> objectives) {
        return new BurnReportBuilder(objectives);
    }

    /** Adds a recorded run or access log: a request record on each line. */
    public void addRecords(Path file) throws IOException, ReportException {
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            long number = 0;
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                number++;
                if (!line.isBlank()) {
                    addRecord(RequestRecord.parse(line, number));
                }
            }
        }
    }

    /** Adds one request. */
    public void addRecord(RequestRecord request) {
        see(request.t());
        for (Objective objective : objectives) {
            Optional<Boolean> good = objective.judge(request);
            if (good.isPresent()) {
                add(objective, request.service(), request.customer(), new Tally(request.t(), 1, good.get() ? 0 : 1));
            }
        }
    }

    /**
     * Adds a scrape of one instance's metrics; what counted between two scrapes is put at the time of the later one.
     *
     * @param instance tells the instances apart
     * @param t when the scrape was made, in milliseconds since 1970
     * @param text the metrics in text form
     */
    public void addMetrics(String instance, long t, String text) throws ReportException {
        MetricsText now = MetricsText.parse(text);
        MetricsText before = lastByInstance.put(instance, now);
        if (before == null) {
            first = Math.min(first, t);
            return;
        }
        see(t);
        for (Objective objective : objectives) {
            now.counts(objective).forEach((key, count) -> {
                MetricsText.Count old = before.counts(objective).getOrDefault(key, MetricsText.Count.NONE);
                // A counter below its earlier value shows a restart, after which it counts from zero.
                MetricsText.Count base = count.total() < old.total() ? MetricsText.Count.NONE : old;
                long total = count.total() - base.total();
                long bad = Math.max(0, Math.min(total, count.bad() - base.bad()));
                if (total > 0) {
                    add(objective, key.service(), key.customer(), new Tally(t, total, bad));
                }
            });
        }
    }

    /** Returns the report; without a scale, the longest window is the length of the run, but at most three days. */
    public BurnReport build(Optional<Double> scale) throws ReportException {
        if (first > last) {
            throw ReportException.of("there are no requests to report on; metrics need at least two scrapes");
        }
        double factor = scale.orElse(Math.min(1, (double) Math.max(1, last - first) / BurnRule.LONGEST_MS));
        if (!(factor > 0)) {
            throw ReportException.of("the scale " + factor + " is not above 0");
        }
        List<BurnRule> rules = BurnRule.scaled(factor);
        List<Burn> burns = new ArrayList<>();
        tallies.forEach((objective, scopes) ->
                scopes.forEach((scope, list) -> burns.add(Burn.of(objective, scope, list, rules))));
        return new BurnReport(first, last, factor, burns);
    }

    private void see(long t) {
        first = Math.min(first, t);
        last = Math.max(last, t);
    }

    private void add(Objective objective, String service, String customer, Tally tally) {
        Map<String, List<Tally>> scopes = tallies.get(objective);
        for (String scope : List.of(ALL, "service " + service, "customer " + customer)) {
            scopes.computeIfAbsent(scope, s -> new ArrayList<>()).add(tally);
        }
    }
}
