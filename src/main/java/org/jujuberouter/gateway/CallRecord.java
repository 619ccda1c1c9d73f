package org.jujuberouter.gateway;

import java.util.Map;
import java.util.stream.Collectors;
import org.jujuberouter.catalog.Call;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.dispatch.Placement;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.http.CallFailure;
import org.jujuberouter.id.ServiceName;

/** Keeps the times of one call, and tells log and metrics what became of it. */
final class CallRecord {
    /** The status under which a caller who left is counted; none is sent. */
    private static final int CALLER_LEFT_STATUS = 499;

    private final Gateway gateway;
    private final long arrived;
    private Call call;
    private String service = "";
    private String customer = "";
    private int waitNoted = -1;
    private long firstEventAt;
    private long lastEventAt;
    private long longestGap;

    CallRecord(Gateway gateway) {
        this.gateway = gateway;
        this.arrived = gateway.ticker().nanos();
    }

    long arrived() {
        return arrived;
    }

    long elapsedMs() {
        return (gateway.ticker().nanos() - arrived) / 1_000_000;
    }

    void read(Call made) {
        call = made;
    }

    void customer(String id) {
        customer = id;
    }

    void service(ServiceName name) {
        service = name.value();
    }

    /** Notes that events came; returns whether they are the first. */
    boolean eventsCame() {
        long now = gateway.ticker().nanos();
        boolean first = firstEventAt == 0;
        if (first) {
            firstEventAt = now;
        } else {
            longestGap = Math.max(longestGap, now - lastEventAt);
        }
        lastEventAt = now;
        return first;
    }

    /** Returns the time since the last event, or since the given moment if that is later, in milliseconds. */
    long quietMs(long sinceNanos) {
        return (gateway.ticker().nanos() - Math.max(lastEventAt, sinceNanos)) / 1_000_000;
    }

    void silent(Endpoint at, long silenceMs) {
        gateway.metrics().attempt(service, "silent");
        turned("silent endpoint", Map.entry("endpoint", at.id()), Map.entry("for_ms", silenceMs));
    }

    /** Logs that the call waits, once for each attempt. */
    void waits(String reason, int attempts) {
        if (waitNoted != attempts) {
            waitNoted = attempts;
            gateway.log().call("waits", call, Map.entry("reason", reason), Map.entry("tokens", call.promptTokens()));
        }
    }

    void sent(Placement.Send place, boolean reserved, int attempts) {
        gateway.metrics().placed(service, gateway.ticker().nanos() - arrived);
        gateway.log()
                .call(
                        "sent",
                        call,
                        Map.entry("endpoint", place.endpoint().endpoint().id()),
                        Map.entry(
                                "helpers",
                                place.helpers().stream()
                                        .map(h -> h.endpoint().id().value())
                                        .collect(Collectors.joining(","))),
                        Map.entry("planned_first_ms", Math.round(place.firstMs())),
                        Map.entry("planned_loss", Math.round(place.loss())),
                        Map.entry("reserved", reserved),
                        Map.entry("attempt", attempts),
                        Map.entry("tokens", call.promptTokens()),
                        Map.entry("waited_ms", elapsedMs()));
    }

    /** Logs a turn of the call that is no end of it. */
    void turned(String what, Map.Entry<?, ?>... fields) {
        gateway.log().callFailed(what, call, fields);
    }

    void notRun(Endpoint at, int status) {
        gateway.metrics().attempt(service, "not_run");
        turned("not run", Map.entry("endpoint", at.id()), Map.entry("status", status));
    }

    void attemptFailed(Endpoint at, CallFailure failure) {
        gateway.metrics().attempt(service, failure.kind().name());
        turned(
                "attempt failed",
                Map.entry("endpoint", at.id()),
                Map.entry("kind", failure.kind()),
                Map.entry("sent", failure.sent()),
                Map.entry("detail", failure.detail()));
    }

    void answered(Endpoint at, int status, Route route) {
        gateway.metrics().attempt(service, "status_" + status);
        ended(status / 100 == 2 ? ExecutionOutcome.COMPLETED : ExecutionOutcome.MAY_HAVE_RUN, status);
        long first = (firstEventAt == 0 ? gateway.ticker().nanos() : firstEventAt) - arrived;
        gateway.metrics().answered(service, customer, first, longestGap);
        gateway.log()
                .call(
                        "answered",
                        call,
                        Map.entry("endpoint", at.id()),
                        Map.entry("status", status),
                        Map.entry("tokens", call.promptTokens()),
                        Map.entry("first_ms", first / 1_000_000),
                        Map.entry("objective_ms", route.objectiveMs()),
                        Map.entry("longest_gap_ms", longestGap / 1_000_000),
                        Map.entry("gap_bound_ms", route.gapMs()),
                        Map.entry("ms", elapsedMs()));
    }

    void refused(int status, String reason, ExecutionOutcome outcome) {
        ended(outcome, status);
        if (call != null) {
            gateway.metrics().refused(reason);
            turned(
                    "refused",
                    Map.entry("status", status),
                    Map.entry("reason", reason),
                    Map.entry("catalog", gateway.configuration()),
                    Map.entry("contact_age_ms", gateway.contact().ageMs()),
                    Map.entry("ms", elapsedMs()));
        }
    }

    void brokenOff(int status, String reason) {
        ended(ExecutionOutcome.MAY_HAVE_RUN, status);
        turned("broken off", Map.entry("reason", reason), Map.entry("ms", elapsedMs()));
    }

    void callerLeft(boolean mayHaveRun, boolean begun) {
        ended(mayHaveRun ? ExecutionOutcome.MAY_HAVE_RUN : ExecutionOutcome.NOT_RUN, CALLER_LEFT_STATUS);
        turned(
                "caller left",
                Map.entry("may_have_run", mayHaveRun),
                Map.entry("begun", begun),
                Map.entry("ms", elapsedMs()));
    }

    private void ended(ExecutionOutcome outcome, int status) {
        gateway.metrics().ended(service, customer, outcome, status);
    }
}
