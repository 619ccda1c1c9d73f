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
 * Result of a load run, grouped by length class.
 *
 * <p>Requests of slow readers form groups of their own, because their times depend on how fast the caller reads.
 */
public final class LoadResult {
    private static final double[] PERCENTILES = {50, 95, 99};
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String name;
    private final Map<String, GroupStatistics> groups = new TreeMap<>(
            Comparator.comparingInt((String n) -> RequestLengthClass.rank(n)).thenComparing(n -> n));
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Map<String, Long> faults = new TreeMap<>();
    private final Map<String, String> bodyByKey = new HashMap<>();
    private final Map<String, Long> refusalsByKey = new HashMap<>();
    private long requests;
    private long correct;
    private long duplicates;
    private long maxStartDelayMicros;

    private LoadResult(String name) {
        this.name = name;
    }

    static LoadResult of(String name) {
        return new LoadResult(name);
    }

    /** Request counts and times in microseconds of one group. */
    private static final class GroupStatistics {
        private final Histogram firstToken = new Histogram(2);
        private final Histogram gaps = new Histogram(2);
        private final Histogram total = new Histogram(2);
        private long requests;
        private long correct;
    }

    synchronized void add(TraceEntry entry, LoadClient.CallResult call) {
        RequestRecord record = call.record();
        requests++;
        outcomes.merge(record.outcome(), 1L, Long::sum);
        GroupStatistics group = groups.computeIfAbsent(groupName(entry), n -> new GroupStatistics());
        group.requests++;
        group.gaps.add(call.gapMicros());
        if (record.firstMs() >= 0) {
            group.firstToken.recordValue((long) (record.firstMs() * 1e3));
        }
        if (record.status() == 409 && !entry.key().isEmpty()) {
            refusalsByKey.merge(entry.key(), 1L, Long::sum);
        }
        if (!record.succeeded()) {
            faults.merge(record.fault(), 1L, Long::sum);
            return;
        }
        correct++;
        group.correct++;
        group.total.recordValue((long) (record.totalMs() * 1e3));
        if (!entry.key().isEmpty()) {
            String firstBody = bodyByKey.putIfAbsent(entry.key(), call.body());
            if (firstBody != null && !firstBody.equals(call.body())) {
                duplicates++;
            }
        }
    }

    synchronized void recordStartDelay(long micros) {
        maxStartDelayMicros = Math.max(maxStartDelayMicros, micros);
    }

    private static String groupName(TraceEntry entry) {
        return RequestLengthClass.of(entry).text() + (entry.readerBytesPerSecond() > 0 ? "-slow" : "");
    }

    /** Returns the number of finished requests. */
    public synchronized long requests() {
        return requests;
    }

    /** Returns the number of complete and correct responses, which are reported as {@code whole}. */
    public synchronized long correctResponses() {
        return correct;
    }

    /** Returns the number of requests whose outcome is {@code not-run}. */
    public synchronized long notRun() {
        return outcomes.getOrDefault("not-run", 0L);
    }

    /** Returns the number of retries whose response differs from the first one with the same idempotency key. */
    public synchronized long duplicates() {
        return duplicates;
    }

    /** Returns the number of calls rejected with 409 while a call with the same key got a correct response. */
    public synchronized long refusedResends() {
        return refusalsByKey.entrySet().stream()
                .filter(e -> bodyByKey.containsKey(e.getKey()))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /** Returns the number of failed requests by fault or error code. */
    public synchronized Map<String, Long> faults() {
        return new TreeMap<>(faults);
    }

    /** Returns a percentile of the time to first token in milliseconds, or -1 if the group has no such times. */
    public synchronized double firstTokenMillis(String groupName, double percentile) {
        GroupStatistics group = groups.get(groupName);
        return group == null || group.firstToken.getTotalCount() == 0
                ? -1
                : group.firstToken.getValueAtPercentile(percentile) / 1e3;
    }

    /** Returns the result as a JSON document. */
    public synchronized String toJson() {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", name)
                .put("requests", requests)
                .put("whole", correct)
                .put("duplicates", duplicates)
                .put("refusedResends", refusedResends())
                .put("maxLagMs", maxStartDelayMicros / 1e3);
        root.set("outcomes", JSON.valueToTree(outcomes));
        root.set("faults", JSON.valueToTree(faults));
        ObjectNode classes = root.putObject("classes");
        groups.forEach((c, group) -> {
            ObjectNode node = classes.putObject(c);
            node.put("requests", group.requests).put("whole", group.correct);
            writeTimes(node.putObject("firstMs"), group.firstToken);
            writeTimes(node.putObject("betweenMs"), group.gaps);
            writeTimes(node.putObject("totalMs"), group.total);
        });
        return root.toPrettyString();
    }

    private static void writeTimes(ObjectNode node, Histogram micros) {
        node.put("count", micros.getTotalCount());
        for (double p : PERCENTILES) {
            node.put("p" + (int) p, micros.getTotalCount() == 0 ? -1 : micros.getValueAtPercentile(p) / 1e3);
        }
    }

    /** Returns the result as a human-readable table. */
    public synchronized String table() {
        StringBuilder out = new StringBuilder();
        out.append(String.format(
                Locale.ROOT,
                "%s: %d requests, %d whole, outcomes %s, faults %s, %d duplicates, maximum start delay %.1f ms%n",
                name,
                requests,
                correct,
                outcomes,
                faults,
                duplicates,
                maxStartDelayMicros / 1e3));
        out.append(String.format(
                "%-10s %8s %8s | %-26s | %-26s | %-26s%n",
                "class", "requests", "whole", "first token ms 50/95/99", "between ms 50/95/99", "total ms 50/95/99"));
        groups.forEach((c, group) -> out.append(String.format(
                "%-10s %8d %8d | %s | %s | %s%n",
                c,
                group.requests,
                group.correct,
                formatTimes(group.firstToken),
                formatTimes(group.gaps),
                formatTimes(group.total))));
        return out.toString();
    }

    private static String formatTimes(Histogram micros) {
        StringBuilder text = new StringBuilder();
        for (double p : PERCENTILES) {
            text.append(
                    micros.getTotalCount() == 0
                            ? String.format("%8s ", "-")
                            : String.format(Locale.ROOT, "%8.1f ", micros.getValueAtPercentile(p) / 1e3));
        }
        return text.substring(0, text.length() - 1);
    }

    /** Returns the 95th percentiles and shares of correct responses of all results, relative to the first result. */
    public static String compare(List<LoadResult> results) {
        LoadResult base = results.getFirst();
        StringBuilder out = new StringBuilder(String.format("relative to %s%n%-32s", base.name, ""));
        results.forEach(r -> out.append(String.format(" %14.14s", r.name)));
        out.append(System.lineSeparator());
        Map<String, List<Double>> rows = new LinkedHashMap<>();
        rows.put(
                "whole share",
                results.stream()
                        .map(r -> (double) r.correct / Math.max(1, r.requests))
                        .toList());
        for (String c : base.groups.keySet()) {
            addRow(rows, results, c + " first token 95th", c, p -> p.firstToken);
            addRow(rows, results, c + " between 95th", c, p -> p.gaps);
            addRow(rows, results, c + " total 95th", c, p -> p.total);
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

    private static void addRow(
            Map<String, List<Double>> rows,
            List<LoadResult> results,
            String label,
            String groupName,
            java.util.function.Function<GroupStatistics, Histogram> times) {
        List<Double> values = new ArrayList<>();
        for (LoadResult result : results) {
            GroupStatistics group = result.groups.get(groupName);
            boolean empty = group == null || times.apply(group).getTotalCount() == 0;
            values.add(empty ? Double.NaN : times.apply(group).getValueAtPercentile(95));
        }
        if (!Double.isNaN(values.getFirst())) {
            rows.put(label, values);
        }
    }
}
