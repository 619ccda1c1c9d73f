package org.jujuberouter.report;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The counters of one scrape of {@code /metrics} that the report reads.
 *
 * <p>They are {@code jujuberouter_requests_total} with the labels service, customer, outcome and status, and the histograms
 * {@code jujuberouter_first_token_seconds} and {@code jujuberouter_between_tokens_seconds} with the labels service and
 * customer. All other metrics are skipped.
 */
final class MetricsText {
    private static final String PREFIX = "jujuberouter_";
    private static final Pattern SAMPLE = Pattern.compile("([A-Za-z_:][\\w:]*)(?:\\{(.*)})?\\s+(\\S+)(?:\\s+-?\\d+)?");
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"((?:[^\"\\\\]|\\\\.)*)\"");

    private static final Pattern ESCAPE = Pattern.compile("\\\\([\"\\\\])");

    private final Map<Key, Count> requests = new HashMap<>();
    private final Map<String, Map<Key, Map<Double, Long>>> buckets = new HashMap<>();

    private MetricsText() {}

    /** Whose requests are counted. */
    record Key(String service, String customer) {}

    /** How many there were and how many of them were bad. */
    record Count(long total, long bad) {
        static final Count NONE = new Count(0, 0);

        private Count plus(long more, boolean areBad) {
            return new Count(total + more, areBad ? bad + more : bad);
        }
    }

    static MetricsText parse(String text) throws ReportException {
        MetricsText metrics = new MetricsText();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (line.startsWith(PREFIX)) {
                metrics.sample(line, number);
            }
        }
        return metrics;
    }

    private void sample(String line, int number) throws ReportException {
        Matcher sample = SAMPLE.matcher(line.strip());
        if (!sample.matches()) {
            throw ReportException.of("metrics line " + number + " is not a sample: " + line);
        }
        Map<String, String> labels = new HashMap<>();
        Matcher label = LABEL.matcher(sample.group(2) == null ? "" : sample.group(2));
        while (label.find()) {
            labels.put(label.group(1), ESCAPE.matcher(label.group(2)).replaceAll("$1"));
        }
        Key key = new Key(labels.getOrDefault("service", "?"), labels.getOrDefault("customer", "?"));
        String name = sample.group(1).substring(PREFIX.length());
        try {
            if (name.equals("requests_total")) {
                request(key, labels, (long) Double.parseDouble(sample.group(3)));
            } else if (name.endsWith("_seconds_bucket")) {
                double limit = labels.getOrDefault("le", "").equals("+Inf")
                        ? Double.POSITIVE_INFINITY
                        : Double.parseDouble(labels.getOrDefault("le", ""));
                buckets.computeIfAbsent(name, n -> new HashMap<>())
                        .computeIfAbsent(key, k -> new HashMap<>())
                        .put(limit, (long) Double.parseDouble(sample.group(3)));
            }
        } catch (NumberFormatException e) {
            throw ReportException.of("metrics line " + number + " has no number: " + line);
        }
    }

    private void request(Key key, Map<String, String> labels, long value) {
        if (!labels.getOrDefault("status", "").startsWith("4")) {
            boolean bad = !labels.getOrDefault("outcome", "").equals("completed");
            requests.merge(key, Count.NONE.plus(value, bad), (a, b) -> new Count(a.total + b.total, a.bad + b.bad));
        }
    }

    Map<Key, Count> counts(Objective objective) {
        return switch (objective.measure()) {
            case AVAILABILITY -> requests;
            case FIRST_TOKEN -> counts("first_token_seconds_bucket", objective.limitMs() / 1000);
            case BETWEEN_TOKENS -> counts("between_tokens_seconds_bucket", objective.limitMs() / 1000);
        };
    }

    /** Takes the largest bucket within the limit as good, so that a limit between two buckets errs towards bad. */
    private Map<Key, Count> counts(String name, double limitSeconds) {
        Map<Key, Count> counts = new HashMap<>();
        buckets.getOrDefault(name, Map.of()).forEach((key, byLimit) -> {
            long total = byLimit.values().stream().mapToLong(v -> v).max().orElse(0);
            long good = byLimit.entrySet().stream()
                    .filter(e -> e.getKey() <= limitSeconds * (1 + 1e-9))
                    .mapToLong(Map.Entry::getValue)
                    .max()
                    .orElse(0);
            counts.put(key, new Count(total, total - good));
        });
        return counts;
    }
}
