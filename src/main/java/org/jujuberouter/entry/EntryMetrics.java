package org.jujuberouter.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.function.Consumer;
import org.jujuberouter.admission.Lane;
import org.jujuberouter.error.Outcome;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.report.RequestRecord;

/**
 * The metrics of one instance, kept by Dropwizard Metrics and shown as Prometheus text, and its access log.
 *
 * <p>Times are counted in cumulative buckets, because quantiles of several instances cannot be added up. The bucket limits
 * include the service-level targets of 1.2 s and 43 ms, so that the burn report reads them without an estimate.
 */
final class EntryMetrics {
    private static final double[] FIRST_TOKEN_LIMITS = {0.1, 0.3, 0.6, 1.2, 2.5, 5, 10, 30, 60, 120};
    private static final double[] BETWEEN_TOKENS_LIMITS = {0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.3, 1};
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final MetricRegistry registry = new MetricRegistry();
    private final Consumer<String> accessLog;

    private EntryMetrics(Consumer<String> accessLog) {
        this.accessLog = accessLog;
    }

    /** Returns metrics that pass each request's record to the access log. */
    static EntryMetrics create(Consumer<String> accessLog) {
        return new EntryMetrics(accessLog);
    }

    /** How a request ended. */
    record Ending(Outcome outcome, int status, String code) {
        static final Ending COMPLETED = new Ending(Outcome.COMPLETED, 200, RequestRecord.NO_FAULT);
        static final Ending CALLER_LEFT = new Ending(Outcome.MAY_HAVE_RUN, 499, "caller_left");
    }

    void gauge(String name, Gauge<Long> gauge) {
        registry.register(name + "{}", gauge);
    }

    void completion(
            ServiceName service,
            CallerGate.Entered entered,
            CompletionCall call,
            RequestObserver observer,
            Ending ending) {
        String labels = "service=\"" + service + "\",customer=\"" + entered.customer() + "\"";
        count(labels, ending);
        String lane = Lane.of(call.promptTokens()).name().toLowerCase(Locale.ROOT);
        if (observer.firstTokenNanos() >= 0) {
            observe(
                    "first_token_seconds",
                    labels + ",lane=\"" + lane + "\"",
                    FIRST_TOKEN_LIMITS,
                    observer.firstTokenNanos());
        }
        if (observer.gapNanos() >= 0) {
            observe("between_tokens_seconds", labels, BETWEEN_TOKENS_LIMITS, observer.gapNanos());
        }
        counter("tokens_total{" + labels + "}").inc(observer.tokens());
        log(service, entered, ending, call.stream() ? "stream" : "completion", call.promptTokens(), observer);
    }

    void plain(ServiceName service, CallerGate.Entered entered, String method, Ending ending) {
        String labels = "service=\"" + service + "\",customer=\"" + entered.customer() + "\"";
        count(labels, ending);
        RequestObserver observer = RequestObserver.of(entered.ticker(), entered.arrivedNanos());
        String kind = method.equals("GET") || method.equals("HEAD") ? "get" : "post";
        log(service, entered, ending, kind, 0, observer);
    }

    private void count(String labels, Ending ending) {
        counter("requests_total{" + labels + ",outcome=\"" + ending.outcome().text() + "\",status=\"" + ending.status()
                        + "\"}")
                .inc();
    }

    private void observe(String name, String labels, double[] limits, long nanos) {
        double seconds = nanos / NANOS_PER_SECOND;
        for (double limit : limits) {
            Counter bucket = counter(name + "_bucket{" + labels + ",le=\"" + limit + "\"}");
            if (seconds <= limit) {
                bucket.inc();
            }
        }
        counter(name + "_bucket{" + labels + ",le=\"+Inf\"}").inc();
        counter(name + "_count{" + labels + "}").inc();
    }

    private Counter counter(String name) {
        return registry.counter(name);
    }

    private void log(
            ServiceName service,
            CallerGate.Entered entered,
            Ending ending,
            String kind,
            long promptTokens,
            RequestObserver observer) {
        double totalMs = observer.totalNanos() / NANOS_PER_MILLI;
        accessLog.accept(new RequestRecord(
                        System.currentTimeMillis() - (long) totalMs,
                        entered.customer().value(),
                        service.value(),
                        kind,
                        promptTokens,
                        observer.tokens(),
                        ending.status(),
                        ending.outcome().text(),
                        ending.code(),
                        observer.firstTokenNanos() < 0 ? -1 : observer.firstTokenNanos() / NANOS_PER_MILLI,
                        observer.gapNanos() < 0 ? -1 : observer.gapNanos() / NANOS_PER_MILLI,
                        totalMs)
                .toJson());
    }

    /** Returns all metrics as Prometheus text; names in the registry are metric and labels as they appear there. */
    String render() {
        StringBuilder out = new StringBuilder();
        registry.getCounters().forEach((name, c) -> line(out, name, c.getCount()));
        registry.getGauges().forEach((name, g) -> line(out, name, ((Number) g.getValue()).longValue()));
        return out.toString();
    }

    private static void line(StringBuilder out, String name, long value) {
        String shown = name.endsWith("{}") ? name.substring(0, name.length() - 2) : name;
        out.append("jujuberouter_").append(shown).append(' ').append(value).append('\n');
    }
}
