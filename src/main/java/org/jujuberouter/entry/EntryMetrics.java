package org.jujuberouter.entry;

import com.codahale.metrics.Gauge;
import java.util.Locale;
import java.util.function.Consumer;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.report.RequestRecord;
import org.jujuberouter.telemetry.LabelledMetrics;

/**
 * The metrics of one instance and its access log.
 *
 * <p>The bucket limits include the service-level targets of 1.2 s and 43 ms, so that the burn report reads them
 * without an estimate.
 */
final class EntryMetrics {
    private static final double[] FIRST_TOKEN_LIMITS = {0.1, 0.3, 0.6, 1.2, 2.5, 5, 10, 30, 60, 120};
    private static final double[] BETWEEN_TOKENS_LIMITS = {0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.3, 1};
    private static final double NANOS_PER_MILLI = 1e6;

    private final LabelledMetrics metrics = LabelledMetrics.create();
    private final Consumer<String> accessLog;

    private EntryMetrics(Consumer<String> accessLog) {
        this.accessLog = accessLog;
    }

    /** Returns metrics that pass each request's record to the access log. */
    static EntryMetrics create(Consumer<String> accessLog) {
        return new EntryMetrics(accessLog);
    }

    /** How a request ended. */
    record Ending(ExecutionOutcome outcome, int status, String code) {
        static final Ending COMPLETED = new Ending(ExecutionOutcome.COMPLETED, 200, RequestRecord.NO_FAULT);
        static final Ending CALLER_LEFT = new Ending(ExecutionOutcome.MAY_HAVE_RUN, 499, "caller_left");
    }

    void gauge(String name, Gauge<Long> gauge) {
        metrics.gauge(name, gauge);
    }

    void completion(
            ServiceName service,
            CallerGate.Entered entered,
            CompletionCall call,
            RequestObserver observer,
            Ending ending) {
        String labels = "service=\"" + service + "\",customer=\"" + entered.customer() + "\"";
        count(labels, ending);
        String lane = PromptClass.of(call.promptTokens()).name().toLowerCase(Locale.ROOT);
        if (observer.firstTokenNanos() >= 0) {
            metrics.observe(
                    "first_token_seconds",
                    labels + ",lane=\"" + lane + "\"",
                    FIRST_TOKEN_LIMITS,
                    observer.firstTokenNanos());
        }
        if (observer.gapNanos() >= 0) {
            metrics.observe("between_tokens_seconds", labels, BETWEEN_TOKENS_LIMITS, observer.gapNanos());
        }
        metrics.count("tokens_total", labels, observer.tokens());
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
        metrics.count(
                "requests_total",
                labels + ",outcome=\"" + ending.outcome().text() + "\",status=\"" + ending.status() + "\"",
                1);
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

    /** Returns all metrics as Prometheus text. */
    String render() {
        return metrics.render();
    }
}
