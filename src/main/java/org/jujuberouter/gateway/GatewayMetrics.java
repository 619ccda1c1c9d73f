package org.jujuberouter.gateway;

import java.util.function.LongSupplier;
import org.jujuberouter.dispatch.AwayReason;
import org.jujuberouter.dispatch.EndpointRegistry;
import org.jujuberouter.dispatch.EngineReservations;
import org.jujuberouter.dispatch.FairShare;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.telemetry.LabelledMetrics;

/** Counters and histograms of one instance; the burn-rate report depends on their names and labels. */
final class GatewayMetrics {
    /** Bucket bounds in seconds; they include the latency objectives of the service levels and of the deployments. */
    private static final double[] FIRST_EVENT_BUCKETS_S = {0.1, 0.2, 0.3, 0.6, 1.2, 1.5, 2.5, 3, 5, 10};

    private static final double[] GAP_BUCKETS_S = {0.043, 0.1, 0.25, 0.6, 1, 2};
    private static final double[] WAIT_BUCKETS_S = {0.001, 0.01, 0.05, 0.1, 0.3, 1, 3};

    /** Maximum number of customers whose usage is rendered; each one is a time series of its own. */
    private static final int MAX_CUSTOMERS = 32;

    private static final String SHARE_USED = "customer_share_used";

    private final LabelledMetrics metrics = LabelledMetrics.create();
    private FairShare shares;

    /** Returns metrics with the gauges of the process. */
    static GatewayMetrics ofProcess() {
        GatewayMetrics metrics = new GatewayMetrics();
        Runtime runtime = Runtime.getRuntime();
        metrics.gauge("heap_bytes", () -> runtime.totalMemory() - runtime.freeMemory());
        return metrics;
    }

    /** Counts a finished call; the customer is empty if it was not identified. */
    void ended(String service, String customer, ExecutionOutcome outcome, int status) {
        metrics.count(
                "requests_total",
                labels(service, customer) + ",outcome=\"" + outcome.text() + "\",status=\"" + status + "\"",
                1);
    }

    /** Observes the time to the first event of a stream, or to the complete response of any other call. */
    void answered(String service, String customer, long firstNanos, long longestGapNanos) {
        metrics.observe("first_token_seconds", labels(service, customer), FIRST_EVENT_BUCKETS_S, firstNanos);
        if (longestGapNanos > 0) {
            metrics.observe("between_tokens_seconds", labels(service, customer), GAP_BUCKETS_S, longestGapNanos);
        }
    }

    /** Observes the time that a call was queued before it was placed. */
    void placed(String service, long waitedNanos) {
        metrics.observe("placement_wait_seconds", "service=\"" + service + "\"", WAIT_BUCKETS_S, waitedNanos);
    }

    /** Counts a placed call by the domains of the instance and of the endpoint, and by the reason if it leaves. */
    void placedAcross(FailureDomain from, FailureDomain to, AwayReason away) {
        metrics.count("calls_placed_total", "from=\"" + from + "\",to=\"" + to + "\"", 1);
        if (away != AwayReason.NONE) {
            metrics.count("calls_away_total", "reason=\"" + away.text() + "\"", 1);
        }
    }

    /** Observes by how much a first event was later than predicted. */
    void firstEventDelayed(String service, long millis) {
        metrics.observe("plan_error_seconds", "service=\"" + service + "\"", WAIT_BUCKETS_S, millis * 1_000_000);
    }

    /** Counts an attempt at an endpoint by its result. */
    void attempt(String service, String result) {
        metrics.count("attempts_total", "service=\"" + service + "\",result=\"" + result + "\"", 1);
    }

    /** Counts an event of a memory reservation at one engine. */
    void memoryEvent(String service, String event) {
        metrics.count("memory_reservations_total", "service=\"" + service + "\",event=\"" + event + "\"", 1);
    }

    /** Counts a suspected crash of an endpoint by the result of the probe. */
    void crashSuspicion(String result) {
        metrics.count("crash_suspicions_total", "result=\"" + result + "\"", 1);
    }

    /** Counts a refusal by its reason; the text after a colon is specific to the case and not part of the label. */
    void refused(String text) {
        String reason = text.contains(":") ? text.substring(0, text.indexOf(':')) : text;
        metrics.count("refusals_total", "reason=\"" + reason.replace('"', '\'') + "\"", 1);
    }

    /** Counts a request that was rejected before it became a call. */
    void rejected(int status) {
        metrics.count("rejected_total", "status=\"" + status + "\"", 1);
    }

    /** Counts a retry that the retry budget allowed or denied. */
    void retry(String service, boolean allowed) {
        metrics.count("retries_total", "service=\"" + service + "\",allowed=\"" + allowed + "\"", 1);
    }

    /** Counts a request to the store by whether it was answered. */
    void storeReply(boolean answered) {
        metrics.count("store_replies_total", "answered=\"" + answered + "\"", 1);
    }

    /** Counts a call of the leader to the platform's API. */
    void dutyCall(String duty, String result) {
        metrics.count("duty_calls_total", "duty=\"" + duty + "\",result=\"" + result + "\"", 1);
    }

    void gauge(String name, LongSupplier value) {
        metrics.gauge(name, value::getAsLong);
    }

    void gauge(String name, String labels, LongSupplier value) {
        metrics.gauge(name, labels, value::getAsLong);
    }

    /** Renders how many reservations of engines for large prompts were made, used and given up. */
    void engineReservations(EngineReservations reservations) {
        gauge("engine_reservations_total", "event=\"made\"", reservations::made);
        gauge("engine_reservations_total", "event=\"used\"", reservations::used);
        gauge("engine_reservations_total", "event=\"released\"", reservations::released);
    }

    void removeGauges(String name) {
        metrics.removeGauges(name);
    }

    /** Registers the gauges of the known endpoints. */
    void endpoints(EndpointRegistry registry) {
        gauge("endpoints_known", registry::size);
        gauge("endpoints_avoided", registry::backedOffCount);
        gauge("endpoint_orderings", registry::orderings);
    }

    /** Registers the gauges of the age of the configuration and keys, and of all that the store holds. */
    void storeAges(StoreFreshness contact, StoreFreshness view) {
        gauge("store_contact_age_ms", contact::ageMs);
        gauge("store_view_age_ms", view::ageMs);
    }

    /** Sets the shares whose largest users are rendered. */
    void shares(FairShare rendered) {
        gauge("calls_deferred_total", rendered::deferredCalls);
        shares = rendered;
    }

    String render() {
        if (shares != null) {
            // Other customers may be among the largest since the last time.
            metrics.removeGauges(SHARE_USED);
            for (FairShare.Usage u : shares.largest(MAX_CUSTOMERS)) {
                String customer = u.customer().map(CustomerId::value).orElse("").replace('"', '\'');
                metrics.gauge(SHARE_USED, "customer=\"" + customer + "\"", u::percentOfEqualShare);
            }
        }
        return metrics.render();
    }

    private static String labels(String service, String customer) {
        return "service=\"" + service + "\",customer=\"" + customer + "\"";
    }
}
