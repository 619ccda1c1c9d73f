package org.jujuberouter.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.admission.Lane;
import org.jujuberouter.error.Outcome;
import org.jujuberouter.id.ServiceName;

/** The metrics of one instance, kept by Dropwizard Metrics and shown as Prometheus text. */
final class EntryMetrics {
    private static final Logger LOG = System.getLogger(EntryMetrics.class.getName());
    private static final double NANOS_PER_SECOND = 1e9;

    private final MetricRegistry registry = new MetricRegistry();

    private EntryMetrics() {}

    static EntryMetrics create() {
        return new EntryMetrics();
    }

    void gauge(String name, Gauge<Long> gauge) {
        registry.register(name, gauge);
    }

    void completion(
            ServiceName service,
            CallerGate.Entered entered,
            CompletionCall call,
            RequestObserver observer,
            Outcome outcome) {
        String lane = Lane.of(call.promptTokens()).name().toLowerCase(Locale.ROOT);
        count(service, outcome);
        if (observer.firstTokenNanos() >= 0) {
            update("first_token_seconds.service=" + service + ",lane=" + lane, observer.firstTokenNanos());
        }
        if (observer.meanGapNanos() >= 0) {
            update("between_tokens_seconds.service=" + service, observer.meanGapNanos());
        }
        registry.counter("tokens_total.service=" + service).inc(observer.tokens());
        LOG.log(
                Level.DEBUG,
                "[access] Request {0} of {1} at {2}: {3}, {4} tokens in {5} ms.",
                entered.id(),
                entered.customer(),
                service,
                outcome.text(),
                observer.tokens(),
                observer.totalNanos() / 1_000_000L);
    }

    void plain(ServiceName service, CallerGate.Entered entered, Outcome outcome) {
        count(service, outcome);
        update("call_seconds.service=" + service, entered.ticker().nanos() - entered.arrivedNanos());
    }

    private void count(ServiceName service, Outcome outcome) {
        registry.counter("requests_total.service=" + service + ",outcome=" + outcome.text())
                .inc();
    }

    private void update(String name, long nanos) {
        registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Returns all metrics as Prometheus text. */
    String render() {
        StringBuilder out = new StringBuilder();
        registry.getCounters().forEach((name, c) -> line(out, name, "", c.getCount()));
        registry.getGauges().forEach((name, g) -> line(out, name, "", ((Number) g.getValue()).doubleValue()));
        for (Map.Entry<String, Timer> e : registry.getTimers().entrySet()) {
            Snapshot s = e.getValue().getSnapshot();
            line(out, e.getKey(), "quantile=\"0.5\"", s.getMedian() / NANOS_PER_SECOND);
            line(out, e.getKey(), "quantile=\"0.95\"", s.get95thPercentile() / NANOS_PER_SECOND);
            line(out, e.getKey(), "quantile=\"0.99\"", s.get99thPercentile() / NANOS_PER_SECOND);
            line(
                    out,
                    e.getKey().replaceFirst("(\\.|$)", "_count$1"),
                    "",
                    e.getValue().getCount());
        }
        return out.toString();
    }

    /** A registry name is the metric, a dot, and labels of the form name=value. */
    private static void line(StringBuilder out, String name, String label, double value) {
        int dot = name.indexOf('.');
        String metric = dot < 0 ? name : name.substring(0, dot);
        StringBuilder labels = new StringBuilder();
        if (dot >= 0) {
            for (String pair : name.substring(dot + 1).split(",")) {
                int eq = pair.indexOf('=');
                labels.append(labels.isEmpty() ? "" : ",")
                        .append(pair, 0, eq)
                        .append("=\"")
                        .append(pair.substring(eq + 1))
                        .append('"');
            }
        }
        if (!label.isEmpty()) {
            labels.append(labels.isEmpty() ? "" : ",").append(label);
        }
        out.append("jujuberouter_").append(metric);
        if (!labels.isEmpty()) {
            out.append('{').append(labels).append('}');
        }
        out.append(' ').append(value).append('\n');
    }
}
