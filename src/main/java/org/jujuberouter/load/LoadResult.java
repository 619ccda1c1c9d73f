package org.jujuberouter.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.jujuberouter.report.RequestRecord;

/**
 * What came of a run, by length class.
 *
 * <p>Callers that read slowly are kept apart, because their times measure their own reading.
 */
public final class LoadResult {
    private static final double[] PERCENTILES = {50, 95, 99};
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String name;
    private final Map<String, Part> parts = new TreeMap<>(
            Comparator.comparingInt((String n) -> LengthClass.rank(n)).thenComparing(n -> n));
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> faults = new TreeMap<>();
    private final Map<String, String> answerByKey = new HashMap<>();
    private final Map<String, Long> refusedByKey = new HashMap<>();
    private long requests;
    private long whole;
    private long duplicates;
    private long maxLagMicros;

    private LoadResult(String name) {
        this.name = name;
    }

    static LoadResult of(String name) {
        return new LoadResult(name);
    }

    /** The times of one class in microseconds. */
    private static final class Part {
        private final Histogram first = new Histogram(2);
        private final Histogram gaps = new Histogram(2);
        private final Histogram total = new Histogram(2);
        private long requests;
        private long whole;
    }

    synchronized void add(TraceEntry entry, LoadClient.Exchange exchange) {
        RequestRecord record = exchange.record();
        requests++;
        outcomes.merge(record.outcome(), 1L, Long::sum);
        Part part = parts.computeIfAbsent(partName(entry), n -> new Part());
        part.requests++;
        part.gaps.add(exchange.gapMicros());
        if (record.firstMs() >= 0) {
            part.first.recordValue((long) (record.firstMs() * 1e3));
        }
        if (record.status() == 409 && !entry.key().isEmpty()) {
            refusedByKey.merge(entry.key(), 1L, Long::sum);
        }
        if (!record.whole()) {
            faults.merge(record.fault(), 1L, Long::sum);
            return;
        }
        whole++;
        part.whole++;
        part.total.recordValue((long) (record.totalMs() * 1e3));
        if (!entry.key().isEmpty()) {
            String earlier = answerByKey.putIfAbsent(entry.key(), exchange.body());
            if (earlier != null && !earlier.equals(exchange.body())) {
                duplicates++;
            }
        }
    }

    synchronized void lag(long micros) {
        maxLagMicros = Math.max(maxLagMicros, micros);
    }

    private static String partName(TraceEntry entry) {
        return LengthClass.of(entry).text() + (entry.readerBytesPerSecond() > 0 ? "-slow" : "");
    }

    /** Returns the number of requests that ended. */
    public synchronized long requests() {
        return requests;
    }

    /** Returns the number of whole and right answers. */
    public synchronized long correctResponses() {
        return whole;
    }

    /** Returns the number of requests that are stated not to have run. */
    public synchronized long notRun() {
        return outcomes.getOrDefault("not-run", 0L);
    }

    /** Returns the number of keyed calls that were answered differently from an earlier send with the same key. */
    public synchronized long duplicates() {
        return duplicates;
    }

    /** Returns the number of keyed calls refused with 409 while another send with the same key got a whole answer. */
    public synchronized long refusedResends() {
        return refusedByKey.entrySet().stream()
                .filter(e -> answerByKey.containsKey(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns what went wrong and how often, by fault or error code. */
    public synchronized Map<String, Long> faults() {
        return new TreeMap<>(faults);
    }

    /** Returns a percentile of the time to the first token in milliseconds, or -1 without any in the class. */
    public synchronized double firstTokenMillis(String lengthClass, double percentile) {
        Part part = parts.get(lengthClass);
        return part == null || part.first.getTotalCount() == 0 ? -1 : part.first.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the result as one JSON document. */
    public synchronized String toJson() {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", name)
                .put("requests", requests)
                .put("whole", whole)
                .put("duplicates", duplicates)
                .put("refusedResends", refusedResends())
                .put("maxLagMs", maxLagMicros / 1e3);
        root.set("outcomes", JSON.valueToTree(outcomes));
        root.set("faults", JSON.valueToTree(faults));
        ObjectNode classes = root.putObject("classes");
        parts.forEach((c, part) -> {
            ObjectNode node = classes.putObject(c);
            node.put("requests", part.requests).put("whole", part.whole);
            times(node.putObject("firstMs"), part.first);
            times(node.putObject("betweenMs"), part.gaps);
            times(node.putObject("totalMs"), part.total);
        });
        return root.toPrettyString();
    }

    private static void times(ObjectNode node, Histogram micros) {
        node.put("count", micros.getTotalCount());
        for (double p : PERCENTILES) {
            node.put("p" + (int) p, micros.getTotalCount() == 0 ? -1 : micros.getValueAtPercentile(p) / 1e3);
        }
    }

    /** Returns the result as a table for people. */
    public synchronized String table() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT,
                "%s: %d requests, %d whole, outcomes %s, faults %s, %d duplicates, started at most %.1f ms late%n",
                name,
                requests,
                whole,
                outcomes,
                faults,
                duplicates,
                maxLagMicros / 1e3));
        out.append(String.format(
                "%-10s %8s %8s | %-26s | %-26s | %-26s%n",
                "class", "requests", "whole", "first token ms 50/95/99", "between ms 50/95/99", "total ms 50/95/99"));
        parts.forEach((c, part) -> out.append(String.format(
                "%-10s %8d %8d | %s | %s | %s%n",
                c, part.requests, part.whole, row(part.first), row(part.gaps), row(part.total))));
        return out.toString();
    }

    private static String row(Histogram micros) {
        StringBuilder row = new StringBuilder();
        for (double p : PERCENTILES) {
            row.append(
                    micros.getTotalCount() == 0
                            ? String.format("%8s ", "-")
                            : String.format(Locale.ROOT, "%8.1f ", micros.getValueAtPercentile(p) / 1e3));
        }
        return row.substring(0, row.length() - 1);
    }

    /** Returns the 95th percentiles and whole shares of all results as ratios to the first one. */
    public static String compare(List<LoadResult> results) {
        LoadResult base = results.getFirst();
        StringBuilder out = new StringBuilder(String.format("ratios to %s%n%-32s", base.name, ""));
        results.forEach(r -> out.append(String.format(" %14.14s", r.name)));
        out.append(System.lineSeparator());
        Map<String, List<Double>> rows = new LinkedHashMap<>();
        rows.put(
                "whole share",
                results.stream()
                        .map(r -> (double) r.whole / Math.max(1, r.requests))
                        .toList());
        for (String c : base.parts.keySet()) {
            row(rows, results, c + " first token 95th", c, p -> p.first);
            row(rows, results, c + " between 95th", c, p -> p.gaps);
            row(rows, results, c + " total 95th", c, p -> p.total);
        }
        rows.forEach((label, values) -> {
            out.append(String.format("%-32s", label));
            values.forEach(v -> out.append(ratio(v, values.getFirst())));
            out.append(System.lineSeparator());
        });
        return out.toString();
    }

    private static String ratio(double value, double base) {
        return Double.isNaN(value) || Double.isNaN(base) || base == 0
                ? String.format(" %14s", "-")
                : String.format(Locale.ROOT, " %14.3f", value / base);
    }

    private static void row(
            Map<String, List<Double>> rows,
            List<LoadResult> results,
            String label,
            String lengthClass,
            java.util.function.Function<Part, Histogram> which) {
        List<Double> values = new ArrayList<>();
        for (LoadResult result : results) {
            Part part = result.parts.get(lengthClass);
            boolean empty = part == null || which.apply(part).getTotalCount() == 0;
            values.add(empty ? Double.NaN : which.apply(part).getValueAtPercentile(95));
        }
        if (!Double.isNaN(values.getFirst())) {
            rows.put(label, values);
        }
    }
}
