package org.jujuberouter.telemetry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters, gauges and histograms with labels, stored in Dropwizard Metrics and rendered in the Prometheus text format.
 *
 * <p>A name in the registry is the name of a metric followed by its labels in the text format. Durations are counted in
 * cumulative buckets, because quantiles of several instances cannot be aggregated.
 */
public final class LabelledMetrics {
    /** Content type of the Prometheus text format. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4";

    private static final double NANOS_PER_SECOND = 1e9;

    private final MetricRegistry registry = new MetricRegistry();

    private LabelledMetrics() {}

    /** Returns an empty set of metrics. */
    public static LabelledMetrics create() {
        return new LabelledMetrics();
    }

    /** Registers a gauge whose value is read whenever the metrics are rendered. */
    public void gauge(String name, Gauge<Long> gauge) {
        registry.register(name + "{}", gauge);
    }

    /** Registers a gauge with labels of the form {@code a="b",c="d"}. */
    public void gauge(String name, String labels, Gauge<Long> gauge) {
        registry.register(name + "{" + labels + "}", gauge);
    }

    /** Removes all gauges with the given name, because this instance no longer knows their values. */
    public void removeGauges(String name) {
        registry.removeMatching((key, _) -> key.startsWith(name + "{"));
    }

    /** Increments a counter; labels have the form {@code a="b",c="d"}. */
    public void count(String name, String labels, long number) {
        registry.counter(name + "{" + labels + "}").inc(number);
    }

    /** Records a duration in a histogram whose buckets have the given upper bounds, in seconds. */
    public void observe(String name, String labels, double[] bucketBounds, long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        for (double bound : bucketBounds) {
            count(name + "_bucket", labels + ",le=\"" + bound + "\"", seconds <= bound ? 1 : 0);
        }
        count(name + "_bucket", labels + ",le=\"+Inf\"", 1);
        count(name + "_count", labels, 1);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String render() {
        StringBuilder out = new StringBuilder();
        registry.getCounters().forEach((name, c) -> appendLine(out, name, c.getCount()));
        registry.getGauges().forEach((name, g) -> appendLine(out, name, ((Number) g.getValue()).longValue()));
        return out.toString();
    }

    private static void appendLine(StringBuilder out, String name, long value) {
        String shown = name.endsWith("{}") ? name.substring(0, name.length() - 2) : name;
        out.append("jujuberouter_").append(shown).append(' ').append(value).append('\n');
    }
}
