package org.jujuberouter.report;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The counters of a scrape of {@code /metrics} from which the report is built.
 *
 * <p>They are {@code jujuberouter_requests_total} with the labels service, customer, outcome and status, and the
 * histograms {@code jujuberouter_first_token_seconds} and {@code jujuberouter_between_tokens_seconds} with the labels
 * service and customer. All other metrics are ignored.
 */
final class MetricsScrape {
    private static final String PREFIX = "jujuberouter_";
    private static final Pattern SAMPLE = Pattern.compile("([A-Za-z_:][\\w:]*)(?:\\{(.*)})?\\s+(\\S+)(?:\\s+-?\\d+)?");
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"((?:[^\"\\\\]|\\\\.)*)\"");

    private static final Pattern ESCAPE = Pattern.compile("\\\\([\"\\\\])");

    private final Map<Key, RequestCount> requests = new HashMap<>();
    private final Map<String, Map<Key, Map<Double, Long>>> buckets = new HashMap<>();

    private MetricsScrape() {}

    /** The service and customer whose requests are counted. */
    record Key(String service, String customer) {}

    /** The number of requests and the number of bad ones among them. */
    record RequestCount(long total, long bad) {
        static final RequestCount NONE = new RequestCount(0, 0);

        private RequestCount plus(long more, boolean areBad) {
            return new RequestCount(total + more, areBad ? bad + more : bad);
        }
    }

    static MetricsScrape parse(String text) throws ReportException {
        MetricsScrape metrics = new MetricsScrape();
        int number = 0;
        for (String line : text.lines().toList()) {
            number++;
            if (line.startsWith(PREFIX)) {
                metrics.parseSample(line, number);
            }
        }
        return metrics;
    }

    private void parseSample(String line, int number) throws ReportException {
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
                addRequests(key, labels, (long) Double.parseDouble(sample.group(3)));
            } else if (name.endsWith("_seconds_bucket")) {
                double upperBound = labels.getOrDefault("le", "").equals("+Inf")
                        ? Double.POSITIVE_INFINITY
                        : Double.parseDouble(labels.getOrDefault("le", ""));
                buckets.computeIfAbsent(name, n -> new HashMap<>())
                        .computeIfAbsent(key, k -> new HashMap<>())
                        .put(upperBound, (long) Double.parseDouble(sample.group(3)));
            }
        } catch (NumberFormatException e) {
            throw ReportException.of("metrics line " + number + " has an invalid number: " + line);
        }
    }

    private void addRequests(Key key, Map<String, String> labels, long value) {
        if (!labels.getOrDefault("status", "").startsWith("4")) {
            boolean bad = !labels.getOrDefault("outcome", "").equals("completed");
            requests.merge(
                    key,
                    RequestCount.NONE.plus(value, bad),
                    (a, b) -> new RequestCount(a.total + b.total, a.bad + b.bad));
        }
    }

    Map<Key, RequestCount> counts(Objective objective) {
        return switch (objective.measure()) {
            case AVAILABILITY -> requests;
            case FIRST_TOKEN -> counts("first_token_seconds_bucket", objective.limitMs() / 1000);
            case BETWEEN_TOKENS -> counts("between_tokens_seconds_bucket", objective.limitMs() / 1000);
        };
    }

    /**
     * Counts as good the requests of the largest bucket within the limit, so that requests between that bucket and the
     * limit count as bad.
     */
    private Map<Key, RequestCount> counts(String name, double limitSeconds) {
        Map<Key, RequestCount> counts = new HashMap<>();
        buckets.getOrDefault(name, Map.of()).forEach((key, byUpperBound) -> {
            long total = byUpperBound.values().stream().mapToLong(v -> v).max().orElse(0);
            long good = byUpperBound.entrySet().stream()
                    .filter(e -> e.getKey() <= limitSeconds * (1 + 1e-9))
                    .mapToLong(Map.Entry::getValue)
                    .max()
                    .orElse(0);
            counts.put(key, new RequestCount(total, total - good));
        });
        return counts;
    }
}
