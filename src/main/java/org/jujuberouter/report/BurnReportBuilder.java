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

/** Builds a report by objective and scope from request records and metrics scrapes. */
public final class BurnReportBuilder {
    private static final String ALL = "all";

    private final List<Objective> objectives;
    private final Map<Objective, Map<String, List<TimedCount>>> counts = new LinkedHashMap<>();
    private final Map<String, MetricsScrape> lastScrapeByInstance = new LinkedHashMap<>();
    private long first = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE;

    private BurnReportBuilder(List<Objective> objectives) {
        this.objectives = List.copyOf(objectives);
        this.objectives.forEach(o -> counts.put(o, new TreeMap<>(Map.of(ALL, new ArrayList<>()))));
    }

    /** Returns a builder without requests for the objectives. */
    public static BurnReportBuilder of(List<Objective> objectives) {
        return new BurnReportBuilder(objectives);
    }

    /** Adds a recorded run or access log with one request record per line. */
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

    /** Adds a request. */
    public void addRecord(RequestRecord request) {
        extendRange(request.t());
        for (Objective objective : objectives) {
            Optional<Boolean> good = objective.evaluate(request);
            if (good.isPresent()) {
                add(
                        objective,
                        request.service(),
                        request.customer(),
                        new TimedCount(request.t(), 1, good.get() ? 0 : 1));
            }
        }
    }

    /**
     * Adds a scrape of an instance's metrics; requests between two scrapes are counted at the time of the later one.
     *
     * @param instance identifies the instance
     * @param t the time of the scrape in milliseconds since 1970
     * @param text the metrics in text format
     */
    public void addMetrics(String instance, long t, String text) throws ReportException {
        MetricsScrape current = MetricsScrape.parse(text);
        MetricsScrape previous = lastScrapeByInstance.put(instance, current);
        if (previous == null) {
            first = Math.min(first, t);
            return;
        }
        extendRange(t);
        for (Objective objective : objectives) {
            current.counts(objective).forEach((key, count) -> {
                MetricsScrape.RequestCount previousCount =
                        previous.counts(objective).getOrDefault(key, MetricsScrape.RequestCount.NONE);
                // A counter below its previous value indicates a restart, after which it counts from zero.
                MetricsScrape.RequestCount baseline =
                        count.total() < previousCount.total() ? MetricsScrape.RequestCount.NONE : previousCount;
                long total = count.total() - baseline.total();
                long bad = Math.max(0, Math.min(total, count.bad() - baseline.bad()));
                if (total > 0) {
                    add(objective, key.service(), key.customer(), new TimedCount(t, total, bad));
                }
            });
        }
    }

    /** Returns the report; without a scale, the longest window is scaled to the length of the run, up to three days. */
    public BurnReport build(Optional<Double> scale) throws ReportException {
        if (first > last) {
            throw ReportException.of("the input has no requests; metrics require at least two scrapes");
        }
        double factor = scale.orElse(Math.min(1, (double) Math.max(1, last - first) / BurnRateRule.LONGEST_MS));
        if (!(factor > 0)) {
            throw ReportException.of("the scale must be greater than 0 but is " + factor);
        }
        List<BurnRateRule> rules = BurnRateRule.scaled(factor);
        List<BurnRateAnalysis> analyses = new ArrayList<>();
        counts.forEach((objective, scopes) ->
                scopes.forEach((scope, list) -> analyses.add(BurnRateAnalysis.of(objective, scope, list, rules))));
        return new BurnReport(first, last, factor, analyses);
    }

    private void extendRange(long t) {
        first = Math.min(first, t);
        last = Math.max(last, t);
    }

    private void add(Objective objective, String service, String customer, TimedCount count) {
        Map<String, List<TimedCount>> scopes = counts.get(objective);
        for (String scope : List.of(ALL, "service " + service, "customer " + customer)) {
            scopes.computeIfAbsent(scope, s -> new ArrayList<>()).add(count);
        }
    }
}
