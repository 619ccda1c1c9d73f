package org.jujuberouter.process.soak;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.platform.standin.EngineStandin;
import org.jujuberouter.platform.standin.StandinSite;

/** Checks the responses to callers and the executions at endpoints against the guarantees of the public pages. */
final class GuaranteeChecker {
    /** Time within which a removed key must stop being accepted: {@code RevokeMs} of the settings. */
    private static final long REVOCATION_BOUND_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

    private final StandinSite site;
    private final String completeStream;
    private final Map<String, IssuedRequest> requests = new ConcurrentHashMap<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<Integer, Integer> statusCounts = new ConcurrentHashMap<>();
    private volatile long keyRemovedAtNanos = Long.MAX_VALUE;

    /**
     * A request of a caller.
     *
     * @param keyRevoked whether its key was past the revocation bound when it was sent
     * @param status the status of its response, or 0 without one
     */
    private record IssuedRequest(String path, boolean withRevocableKey, boolean keyRevoked, int status) {}

    GuaranteeChecker(StandinSite site, String completeStream) {
        this.site = site;
        this.completeStream = completeStream;
    }

    /** Records that the revocable key was added to the configuration or removed from it. */
    void recordKeyChange(boolean keyPresent) {
        keyRemovedAtNanos = keyPresent ? Long.MAX_VALUE : System.nanoTime();
    }

    boolean isKeyRevoked() {
        return System.nanoTime() - keyRemovedAtNanos > REVOCATION_BOUND_NANOS && keyRemovedAtNanos != Long.MAX_VALUE;
    }

    void recordRequest(String id, String path, boolean withRevocableKey) {
        requests.put(id, new IssuedRequest(path, withRevocableKey, withRevocableKey && isKeyRevoked(), 0));
    }

    /** Checks a complete response against the request and counts its status. */
    void checkResponse(String id, HttpResponse<String> response) {
        IssuedRequest request = requests.computeIfPresent(
                id,
                (_, issued) -> new IssuedRequest(
                        issued.path, issued.withRevocableKey, issued.keyRevoked, response.statusCode()));
        statusCounts.merge(response.statusCode(), 1, Integer::sum);
        String answeredId = response.headers()
                .firstValue("X-Jujuberouter-Attempt-Id")
                .orElse(response.statusCode() == 200 ? "" : id);
        if (!answeredId.equals(id)) {
            violations.add(id + " received the response to " + answeredId);
        }
        if (response.statusCode() == 200) {
            boolean complete = request.path.endsWith("/stream")
                    ? response.body().equals(completeStream)
                    : response.body().startsWith("done by ");
            if (!complete) {
                violations.add(id + " received a complete response that the endpoint did not send: " + response.body());
            }
        } else if (!request.withRevocableKey && List.of(400, 401, 403, 404, 413).contains(response.statusCode())) {
            violations.add(id + " was rejected with " + response.statusCode() + ": " + response.body());
        }
    }

    /** Counts a request without a complete response. */
    void recordMissingResponse() {
        statusCounts.merge(0, 1, Integer::sum);
    }

    void recordViolation(String description) {
        violations.add(description);
    }

    /** Returns all violations; to be called once, after all requests have ended. */
    List<String> violations() {
        Map<String, Integer> executions = new ConcurrentHashMap<>();
        for (List<EngineStandin> endpoints : List.of(site.engines(), site.ledgers())) {
            endpoints.forEach(endpoint -> endpoint.runs().forEach(id -> executions.merge(id, 1, Integer::sum)));
        }
        requests.forEach((id, request) -> {
            int executionCount = executions.getOrDefault(id, 0);
            if (request.path.startsWith("/post/") && executionCount > 1) {
                violations.add(id + " was executed " + executionCount + " times but must be executed at most once");
            }
            if (request.path.startsWith("/post/")
                    && executionCount > 0
                    && List.of(408, 421, 429, 503).contains(request.status)) {
                violations.add(id + " was executed although its status " + request.status + " means that it was not");
            }
            if (request.keyRevoked && executionCount > 0) {
                violations.add(id + " was executed with a key that was removed more than 5 s earlier");
            }
        });
        executions.keySet().stream()
                .filter(id -> !requests.containsKey(id))
                .forEach(id -> violations.add(id + " was executed but never sent"));
        return List.copyOf(violations);
    }

    /** Returns the number of requests by status; status 0 counts requests without a complete response. */
    Map<Integer, Integer> statusCounts() {
        return Map.copyOf(statusCounts);
    }
}
