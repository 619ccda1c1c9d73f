package org.jujuberouter.gateway;

import java.util.function.LongSupplier;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.telemetry.LabelledMetrics;

/** The counters and histograms of one instance; their names and labels are those that the burn report reads. */
final class GatewayMetrics {
    /** Upper limits in seconds; they include the objectives of the service levels and of the deployments. */
    private static final double[] FIRST_EVENT_LIMITS = {0.1, 0.2, 0.3, 0.6, 1.2, 1.5, 2.5, 3, 5, 10};

    private static final double[] GAP_LIMITS = {0.043, 0.1, 0.25, 0.6, 1, 2};
    private static final double[] WAIT_LIMITS = {0.001, 0.01, 0.05, 0.1, 0.3, 1, 3};

    private final LabelledMetrics metrics = LabelledMetrics.create();

    /** Counts a call that has ended; the customer is empty where it is not known. */
    void ended(String service, String customer, ExecutionOutcome outcome, int status) {
        metrics.count(
                "requests_total",
                labels(service, customer) + ",outcome=\"" + outcome.text() + "\",status=\"" + status + "\"",
                1);
    }

    /** Enters the time to the first event of a stream, or to the whole answer of another call. */
    void answered(String service, String customer, long firstNanos, long longestGapNanos) {
        metrics.observe("first_token_seconds", labels(service, customer), FIRST_EVENT_LIMITS, firstNanos);
        if (longestGapNanos > 0) {
            metrics.observe("between_tokens_seconds", labels(service, customer), GAP_LIMITS, longestGapNanos);
        }
    }

    /** Enters the time that a call waited for a place. */
    void placed(String service, long waitedNanos) {
        metrics.observe("placement_wait_seconds", "service=\"" + service + "\"", WAIT_LIMITS, waitedNanos);
    }

    /** Enters how much later than planned a first event came. */
    void delayedBeyondPlan(String service, long millis) {
        metrics.observe("plan_error_seconds", "service=\"" + service + "\"", WAIT_LIMITS, millis * 1_000_000);
    }

    /** Counts how a sending to an endpoint ended. */
    void attempt(String service, String result) {
        metrics.count("attempts_total", "service=\"" + service + "\",result=\"" + result + "\"", 1);
    }

    /** Counts a refusal by its reason, of which the part after a colon tells single cases apart. */
    void refused(String text) {
        String reason = text.contains(":") ? text.substring(0, text.indexOf(':')) : text;
        metrics.count("refusals_total", "reason=\"" + reason.replace('"', '\'') + "\"", 1);
    }

    /** Counts a request that did not become a call. */
    void rejected(int status) {
        metrics.count("rejected_total", "status=\"" + status + "\"", 1);
    }

    /** Counts a second attempt that the budget allowed or did not. */
    void retry(String service, boolean allowed) {
        metrics.count("retries_total", "service=\"" + service + "\",allowed=\"" + allowed + "\"", 1);
    }

    /** Counts an answer of the store, or its failure. */
    void store(boolean answered) {
        metrics.count("store_replies_total", "answered=\"" + answered + "\"", 1);
    }

    void gauge(String name, LongSupplier value) {
        metrics.gauge(name, value::getAsLong);
    }

    String render() {
        return metrics.render();
    }

    private static String labels(String service, String customer) {
        return "service=\"" + service + "\",customer=\"" + customer + "\"";
    }
}
