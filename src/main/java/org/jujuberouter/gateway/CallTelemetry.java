package org.jujuberouter.gateway;

import java.util.Map;
import java.util.stream.Collectors;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.dispatch.AwayReason;
import org.jujuberouter.dispatch.PlacementDecision;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.http.CallFailure;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/** Records the timing of one call and reports its progress and outcome to the log and the metrics. */
final class CallTelemetry implements ReservationObserver {
    /** Status under which calls are counted whose caller closed the connection; it is never sent. */
    private static final int CLIENT_CLOSED_STATUS = 499;

    /** Time within which an engine confirms a release that it receives at once. */
    private static final long PROMPT_RELEASE_MS = 500;

    private final Gateway gateway;
    private final long arrivedNanos;
    private RequestHead call;
    private String service = "";
    private String customer = "";
    private int waitLoggedForAttempt = -1;
    private boolean deferralLogged;
    private boolean executionCounted;
    private long firstEventNanos;
    private long lastEventNanos;
    private long longestGapNanos;

    CallTelemetry(Gateway gateway) {
        this.gateway = gateway;
        this.arrivedNanos = gateway.ticker().nanos();
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    long elapsedMs() {
        return (gateway.ticker().nanos() - arrivedNanos) / 1_000_000;
    }

    void setCall(RequestHead received) {
        call = received;
    }

    void setCustomer(String id) {
        customer = id;
    }

    void setService(ServiceName name) {
        service = name.value();
    }

    /** Records the arrival of stream events; returns whether they are the first of the call. */
    boolean recordEvents() {
        long now = gateway.ticker().nanos();
        boolean first = firstEventNanos == 0;
        if (first) {
            firstEventNanos = now;
            executionBegan();
        } else {
            longestGapNanos = Math.max(longestGapNanos, now - lastEventNanos);
        }
        lastEventNanos = now;
        return first;
    }

    /** Counts the request for its customer when an endpoint has begun to execute it, at most once. */
    void executionBegan() {
        if (!executionCounted && !customer.isEmpty()) {
            executionCounted = true;
            gateway.duties().ifPresent(d -> d.executed(CustomerId.of(customer)));
        }
    }

    /** Returns the time since the later of the last event and the given time, in milliseconds. */
    long msSinceLastEvent(long sinceNanos) {
        return (gateway.ticker().nanos() - Math.max(lastEventNanos, sinceNanos)) / 1_000_000;
    }

    void endpointSilent(Endpoint endpoint, long silenceMs) {
        gateway.metrics().attempt(service, "silent");
        logWarning("silent endpoint", Map.entry("endpoint", endpoint.id()), Map.entry("for_ms", silenceMs));
    }

    /** Logs that the call is queued, at most once per attempt and once when its customer's share is used up. */
    void waiting(PlacementDecision.Wait wait, boolean deferred, int attempts) {
        if (waitLoggedForAttempt != attempts || deferred && !deferralLogged) {
            waitLoggedForAttempt = attempts;
            deferralLogged |= deferred;
            gateway.log()
                    .call(
                            "waits",
                            call,
                            Map.entry("reason", deferred ? "share used up" : wait.reason()),
                            Map.entry("not_away", wait.notAway()),
                            Map.entry("tokens", call.promptTokens()));
        }
    }

    void sent(PlacementDecision.Send placement, boolean reserved, int attempts) {
        Endpoint endpoint = placement.endpoint().registration();
        gateway.metrics().placed(service, gateway.ticker().nanos() - arrivedNanos);
        gateway.metrics().placedAcross(gateway.domain(), endpoint.domain(), placement.away());
        gateway.log()
                .call(
                        "sent",
                        call,
                        Map.entry("endpoint", endpoint.id()),
                        Map.entry("domain", endpoint.domain()),
                        Map.entry(
                                "away",
                                placement.away() == AwayReason.NONE
                                        ? ""
                                        : placement.away().text()),
                        Map.entry(
                                "helpers",
                                placement.helpers().stream()
                                        .map(h -> h.registration().id().value())
                                        .collect(Collectors.joining(","))),
                        Map.entry("planned_first_ms", Math.round(placement.predictedFirstEventMs())),
                        Map.entry("planned_loss", Math.round(placement.predictedLateCost())),
                        Map.entry("reserved", reserved),
                        Map.entry("attempt", attempts),
                        Map.entry("tokens", call.promptTokens()),
                        Map.entry("waited_ms", elapsedMs()));
    }

    /** Logs an event of the call at warning level. */
    void logWarning(String what, Map.Entry<?, ?>... fields) {
        gateway.log().callFailed(what, call, fields);
    }

    @Override
    public void useReported(Endpoint engine, String id, MemoryReservations.Use use) {
        memoryEvent("memory use reported", engine, id, Map.entry("use", use));
    }

    @Override
    public void orderUnanswered(Endpoint engine, String id, String order) {
        memoryEvent("memory order unanswered", engine, id, Map.entry("order", order));
    }

    @Override
    public void releasing(Endpoint engine) {
        gateway.memoryReleaseStarted();
    }

    @Override
    public void freed(Endpoint engine, String id, long afterMs) {
        gateway.memoryReleaseEnded();
        if (afterMs > PROMPT_RELEASE_MS) {
            memoryEvent("memory freed late", engine, id, Map.entry("after_ms", afterMs));
        } else {
            gateway.metrics().memoryEvent(service, "memory freed");
        }
    }

    @Override
    public void releaseUnconfirmed(Endpoint engine, String id, long afterMs) {
        gateway.memoryReleaseEnded();
        memoryEvent("memory release unconfirmed", engine, id, Map.entry("after_ms", afterMs));
    }

    void memoryLapsed(Endpoint engine, String id) {
        memoryEvent("memory lapsed", engine, id, Map.entry("ms", elapsedMs()));
    }

    private void memoryEvent(String what, Endpoint engine, String id, Map.Entry<?, ?> detail) {
        gateway.metrics().memoryEvent(service, what);
        logWarning(what, Map.entry("endpoint", engine.id()), Map.entry("reservation", id), detail);
    }

    void notRun(Endpoint endpoint, int status) {
        gateway.metrics().attempt(service, "not_run");
        logWarning("not run", Map.entry("endpoint", endpoint.id()), Map.entry("status", status));
    }

    /** Logs a failed attempt, with what tells which request an endpoint that crashed had begun to answer. */
    void attemptFailed(Endpoint endpoint, CallFailure failure, boolean begun, int events) {
        gateway.metrics().attempt(service, failure.kind().name());
        logWarning(
                "attempt failed",
                Map.entry("endpoint", endpoint.id()),
                Map.entry("kind", failure.kind()),
                Map.entry("sent", failure.sent()),
                Map.entry("begun", begun),
                Map.entry("events", events),
                Map.entry("parts", String.join(",", call.sharedParts())),
                Map.entry("detail", failure.detail()));
    }

    void answered(Endpoint endpoint, int status, Route route) {
        gateway.metrics().attempt(service, "status_" + status);
        countOutcome(status / 100 == 2 ? ExecutionOutcome.COMPLETED : ExecutionOutcome.MAY_HAVE_RUN, status);
        long first = (firstEventNanos == 0 ? gateway.ticker().nanos() : firstEventNanos) - arrivedNanos;
        gateway.metrics().answered(service, customer, first, longestGapNanos);
        gateway.log()
                .call(
                        "answered",
                        call,
                        Map.entry("endpoint", endpoint.id()),
                        Map.entry("status", status),
                        Map.entry("tokens", call.promptTokens()),
                        Map.entry("first_ms", first / 1_000_000),
                        Map.entry("objective_ms", route.objectiveMs()),
                        Map.entry("longest_gap_ms", longestGapNanos / 1_000_000),
                        Map.entry("gap_bound_ms", route.gapObjectiveMs()),
                        Map.entry("ms", elapsedMs()));
    }

    void refused(int status, String reason, ExecutionOutcome outcome) {
        countOutcome(outcome, status);
        if (call != null) {
            gateway.metrics().refused(reason);
            logWarning(
                    "refused",
                    Map.entry("status", status),
                    Map.entry("reason", reason),
                    Map.entry("catalog", gateway.configurationVersion()),
                    Map.entry("contact_age_ms", gateway.storeFreshness().ageMs()),
                    Map.entry("ms", elapsedMs()));
        }
    }

    void responseAborted(int status, String reason) {
        countOutcome(ExecutionOutcome.MAY_HAVE_RUN, status);
        logWarning("broken off", Map.entry("reason", reason), Map.entry("ms", elapsedMs()));
    }

    void callerDisconnected(boolean mayHaveRun, boolean responseStarted) {
        countOutcome(mayHaveRun ? ExecutionOutcome.MAY_HAVE_RUN : ExecutionOutcome.NOT_RUN, CLIENT_CLOSED_STATUS);
        logWarning(
                "caller left",
                Map.entry("may_have_run", mayHaveRun),
                Map.entry("begun", responseStarted),
                Map.entry("ms", elapsedMs()));
    }

    private void countOutcome(ExecutionOutcome outcome, int status) {
        gateway.metrics().ended(service, customer, outcome, status);
    }
}
