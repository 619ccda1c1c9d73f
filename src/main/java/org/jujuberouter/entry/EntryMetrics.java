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
 * The metrics and the access log of an instance.
 *
 * <p>The bucket boundaries include the service-level objectives of 1.2 s and 43 ms, so that the burn rate report needs
 * no interpolation.
 */
final class EntryMetrics {
    private static final double[] FIRST_TOKEN_BUCKETS_SECONDS = {0.1, 0.3, 0.6, 1.2, 2.5, 5, 10, 30, 60, 120};
    private static final double[] BETWEEN_TOKENS_BUCKETS_SECONDS = {0.01, 0.02, 0.03, 0.043, 0.06, 0.1, 0.3, 1};
    private static final double NANOS_PER_MILLI = 1e6;

    private final LabelledMetrics metrics = LabelledMetrics.create();
    private final Consumer<String> accessLog;

    private EntryMetrics(Consumer<String> accessLog) {
        this.accessLog = accessLog;
    }

    /** Returns empty metrics; the record of each request is passed to the access log as one line of JSON. */
    static EntryMetrics create(Consumer<String> accessLog) {
        return new EntryMetrics(accessLog);
    }

    /** The outcome, HTTP status and error code that a request ended with. */
    record RequestResult(ExecutionOutcome outcome, int status, String code) {
        static final RequestResult COMPLETED =
                new RequestResult(ExecutionOutcome.COMPLETED, 200, RequestRecord.NO_FAULT);
        static final RequestResult CALLER_DISCONNECTED =
                new RequestResult(ExecutionOutcome.MAY_HAVE_RUN, 499, "caller_left");
    }

    void gauge(String name, Gauge<Long> gauge) {
        metrics.gauge(name, gauge);
    }

    void recordCompletion(
            ServiceName service,
            RequestValidator.ValidatedRequest validated,
            CompletionCall call,
            RequestObserver observer,
            RequestResult result) {
        String labels = "service=\"" + service + "\",customer=\"" + validated.customer() + "\"";
        count(labels, result);
        String promptClass = PromptClass.of(call.promptTokens()).name().toLowerCase(Locale.ROOT);
        if (observer.firstTokenNanos() >= 0) {
            metrics.observe(
                    "first_token_seconds",
                    labels + ",lane=\"" + promptClass + "\"",
                    FIRST_TOKEN_BUCKETS_SECONDS,
                    observer.firstTokenNanos());
        }
        if (observer.gapPercentileNanos() >= 0) {
            metrics.observe(
                    "between_tokens_seconds", labels, BETWEEN_TOKENS_BUCKETS_SECONDS, observer.gapPercentileNanos());
        }
        metrics.count("tokens_total", labels, observer.tokens());
        writeAccessLog(
                service, validated, result, call.stream() ? "stream" : "completion", call.promptTokens(), observer);
    }

    void recordPlainCall(
            ServiceName service, RequestValidator.ValidatedRequest validated, String method, RequestResult result) {
        String labels = "service=\"" + service + "\",customer=\"" + validated.customer() + "\"";
        count(labels, result);
        RequestObserver observer = RequestObserver.of(validated.ticker(), validated.arrivedNanos());
        String kind = method.equals("GET") || method.equals("HEAD") ? "get" : "post";
        writeAccessLog(service, validated, result, kind, 0, observer);
    }

    private void count(String labels, RequestResult result) {
        metrics.count(
                "requests_total",
                labels + ",outcome=\"" + result.outcome().text() + "\",status=\"" + result.status() + "\"",
                1);
    }

    private void writeAccessLog(
            ServiceName service,
            RequestValidator.ValidatedRequest validated,
            RequestResult result,
            String kind,
            long promptTokens,
            RequestObserver observer) {
        double totalMs = observer.totalNanos() / NANOS_PER_MILLI;
        accessLog.accept(new RequestRecord(
                        System.currentTimeMillis() - (long) totalMs,
                        validated.customer().value(),
                        service.value(),
                        kind,
                        promptTokens,
                        observer.tokens(),
                        result.status(),
                        result.outcome().text(),
                        result.code(),
                        observer.firstTokenNanos() < 0 ? -1 : observer.firstTokenNanos() / NANOS_PER_MILLI,
                        observer.gapPercentileNanos() < 0 ? -1 : observer.gapPercentileNanos() / NANOS_PER_MILLI,
                        totalMs)
                .toJson());
    }

    /** Returns all metrics in the Prometheus text format. */
    String render() {
        return metrics.render();
    }
}
