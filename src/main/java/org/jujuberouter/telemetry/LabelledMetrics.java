package org.jujuberouter.telemetry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Counters, gauges and histograms with labels, kept by Dropwizard Metrics and shown as Prometheus text.
 *
 * <p>A name in the registry is a metric with its labels as they appear in the text. Times are counted in cumulative
 * buckets, because quantiles of several instances cannot be added up.
 */
public final class LabelledMetrics {
    /** The content type of the text. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4";

    private static final double NANOS_PER_SECOND = 1e9;

    private final MetricRegistry registry = new MetricRegistry();

    private LabelledMetrics() {}

    /** Returns an empty set of metrics. */
    public static LabelledMetrics create() {
        return new LabelledMetrics();
    }

    /** Shows a value that is read whenever the metrics are. */
    public void gauge(String name, Gauge<Long> gauge) {
        registry.register(name + "{}", gauge);
    }

    /** Adds to a counter; labels are written as {@code a="b",c="d"}. */
    public void count(String name, String labels, long number) {
        registry.counter(name + "{" + labels + "}").inc(number);
    }

    /** Enters a duration into a histogram with the given upper limits, in seconds. */
    public void observe(String name, String labels, double[] bucketBounds, long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        for (double bound : bucketBounds) {
            count(name + "_bucket", labels + ",le=\"" + bound + "\"", seconds <= bound ? 1 : 0);
        }
        count(name + "_bucket", labels + ",le=\"+Inf\"", 1);
        count(name + "_count", labels, 1);
    }

    /** Returns all metrics as Prometheus text. */
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
