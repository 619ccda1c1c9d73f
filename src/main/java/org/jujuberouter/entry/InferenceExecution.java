package org.jujuberouter.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.RequestDecision;
import org.jujuberouter.outcome.RequestEvent;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.quarantine.ClearNotice;
import org.jujuberouter.quarantine.QuarantineStatus;
import org.jujuberouter.quarantine.RunDecision;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.RouteResult;
import org.jujuberouter.routing.SentRequest;

/**
 * Executes one inference request after admission. Each attempt obtains the arbiter's permission, a route and a permit,
 * and is then sent to an engine.
 *
 * <p>Each attempt has its own run id, permit and engine request. Only the lifecycle decides whether to make another
 * attempt and which outcome is reported to the caller.
 */
final class InferenceExecution {
    /** Delay before the arbiter is asked again, and before routing again after all candidates refused. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** A waiting request is routed again after this many permit requests, as other queues may have become shorter. */
    private static final int REQUESTS_PER_ROUTING = 4;

    /** How long a request waits while its service has no available endpoint. */
    private static final Duration NO_ENDPOINT_TIMEOUT = Duration.ofSeconds(20);

    private final InstanceRuntime runtime;
    private final CompletionCall call;
    private final AdmittedRequest admitted;
    private final RequestLifecycle lifecycle;
    private final ResponseWriter writer;
    private final RequestObserver observer;
    private final Set<EndpointId> avoided = new HashSet<>();
    private final StringBuilder text = new StringBuilder();
    private int attempt;

    private InferenceExecution(
            InstanceRuntime runtime,
            CompletionCall call,
            AdmittedRequest admitted,
            RequestLifecycle lifecycle,
            ResponseWriter writer,
            RequestObserver observer) {
        this.runtime = runtime;
        this.call = call;
        this.admitted = admitted;
        this.lifecycle = lifecycle;
        this.writer = writer;
        this.observer = observer;
    }

    static InferenceExecution of(
            InstanceRuntime runtime,
            CompletionCall call,
            AdmittedRequest admitted,
            RequestLifecycle lifecycle,
            ResponseWriter writer,
            RequestObserver observer) {
        return new InferenceExecution(runtime, call, admitted, lifecycle, writer, observer);
    }

    /**
     * An admitted request.
     *
     * @param validated the validated request
     * @param route the request for a route
     * @param weight the customer's weight in fair queueing
     * @param deadline the deadline
     */
    record AdmittedRequest(
            RequestValidator.ValidatedRequest validated, RouteRequest route, double weight, Deadline deadline) {}

    /** An attempt with the arbiter's permission and a permit for an endpoint. */
    record PermittedAttempt(
            RunId run, InstanceId arbiter, PermitClient.Result.Acquired acquired, PromptClass promptClass) {}

    /** Runs until the response is complete or the request has failed. */
    void run() throws JujuberouterException, IOException, InterruptedException {
        RequestDecision decision = lifecycle.on(new RequestEvent.Admitted());
        while (true) {
            switch (decision) {
                case RequestDecision.Finish finish -> {
                    finish(finish);
                    return;
                }
                case RequestDecision.Retry retry -> avoided.addAll(retry.avoid());
                case RequestDecision.Continue next -> avoided.addAll(next.avoid());
                case RequestDecision.Wait _, RequestDecision.Ignore _ -> {
                    // Start the first attempt.
                }
            }
            decision = attempt();
        }
    }

    private void finish(RequestDecision.Finish finish) throws JujuberouterException, IOException {
        if (finish.outcome() == ExecutionOutcome.COMPLETED) {
            writer.finish();
            return;
        }
        ErrorKind kind = finish.kind().orElse(ErrorKind.INTERNAL);
        Object[] arguments = switch (kind) {
            case DEADLINE_EXCEEDED ->
                new Object[] {admitted.validated().deadline().toMillis()};
            case ENDPOINT_FAILED -> new Object[] {avoided, "the request could not go on elsewhere"};
            default -> new Object[] {call.model().value()};
        };
        throw finish.outcome() == ExecutionOutcome.NOT_RUN
                ? JujuberouterException.notRun(kind, arguments)
                : JujuberouterException.mayHaveRun(kind, null, arguments);
    }

    private RequestDecision attempt() throws IOException, InterruptedException, JujuberouterException {
        attempt++;
        RunId run = new RunId(runtime.self(), admitted.validated().sequence(), attempt);
        Optional<InstanceId> arbiter = awaitPermission(run);
        if (arbiter.isEmpty()) {
            return lifecycle.on(new RequestEvent.Refused(ErrorKind.QUARANTINED));
        }
        PeerMessage.RunOutcome runOutcome = PeerMessage.RunOutcome.RELEASED;
        Optional<String> crashId = Optional.empty();
        try {
            Optional<PermitClient.Result.Acquired> permit = awaitPermit(run);
            if (permit.isEmpty()) {
                return lifecycle.on(new RequestEvent.Refused(
                        admitted.deadline().passed() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NO_CAPACITY));
            }
            PermittedAttempt permittedAttempt = new PermittedAttempt(run, arbiter.get(), permit.get(), promptClass());
            RequestDecision decision = send(permittedAttempt);
            if (decision instanceof RequestDecision.Finish f && f.outcome() == ExecutionOutcome.COMPLETED) {
                runOutcome = PeerMessage.RunOutcome.COMPLETED;
                recordCompletion();
            } else if (decision instanceof RequestDecision.Retry || decision instanceof RequestDecision.Continue) {
                runOutcome = PeerMessage.RunOutcome.LOST;
                crashId = Optional.of(permittedAttempt.acquired().crashId()).filter(id -> !id.isEmpty());
            }
            return decision;
        } finally {
            runtime.arbiterClient.reportEnded(
                    arbiter.get(), call.fingerprint(), run.toRequestId(), runOutcome, crashId);
        }
    }

    private void recordCompletion() {
        Optional<ClearNotice> cleared = runtime.evidence.completed(call.fingerprint());
        cleared.ifPresent(c -> runtime.network.broadcast(new PeerMessage.ClearNotice(
                c.fingerprint(), List.copyOf(c.crashIds()), c.age().toMillis())));
    }

    /** Waits until the arbiter permits the run; empty if the request is quarantined. */
    private Optional<InstanceId> awaitPermission(RunId run) throws InterruptedException {
        while (true) {
            ArbiterClient.RunPermission permission = runtime.arbiterClient.requestRun(
                    call.fingerprint(), run.toRequestId(), admitted.deadline().remaining());
            switch (permission.decision()) {
                case RunDecision.Run _ -> {
                    return Optional.of(permission.arbiter());
                }
                case RunDecision.Refuse _ -> {
                    return Optional.empty();
                }
                case RunDecision.Wait _ -> {
                    if (admitted.deadline().passed()) {
                        return Optional.of(permission.arbiter());
                    }
                    Thread.sleep(RETRY_DELAY);
                }
            }
        }
    }

    private PromptClass promptClass() {
        return PromptClass.of(call.promptTokens());
    }

    private PermitRequest permitRequest(RunId run) {
        return new PermitRequest(
                run.toRequestId(),
                runtime.self(),
                admitted.validated().customer(),
                admitted.weight(),
                promptClass(),
                call.totalTokens(),
                call.fingerprint(),
                runtime.evidence.status(call.fingerprint()) == QuarantineStatus.MARKED,
                admitted.deadline().atNanos());
    }

    /** Requests a permit from owners until one is granted; empty if none can be granted before the deadline. */
    private Optional<PermitClient.Result.Acquired> awaitPermit(RunId run)
            throws InterruptedException, JujuberouterException {
        PermitRequest request = permitRequest(run);
        Deadline noEndpointDeadline = Deadline.after(runtime.ticker, NO_ENDPOINT_TIMEOUT);
        Optional<EndpointId> queuedAt = Optional.empty();
        int requests = 0;
        try {
            while (!admitted.deadline().passed()) {
                boolean reroute = queuedAt.isEmpty() || requests++ % REQUESTS_PER_ROUTING == 0;
                List<EndpointId> candidates = reroute ? candidates(noEndpointDeadline) : List.of(queuedAt.get());
                if (candidates.isEmpty() && noEndpointDeadline.passed()) {
                    return Optional.empty();
                }
                switch (runtime.permitClient.acquire(request, candidates, queuedAt)) {
                    case PermitClient.Result.Acquired acquired -> {
                        queuedAt = Optional.empty();
                        return Optional.of(acquired);
                    }
                    case PermitClient.Result.Queued queued -> {
                        withdrawFromPrevious(request, queuedAt, queued.endpoint());
                        queuedAt = Optional.of(queued.endpoint());
                    }
                    case PermitClient.Result.Denied denied -> {
                        if (isUnsatisfiable(denied.reasons())) {
                            return Optional.empty();
                        }
                        Thread.sleep(RETRY_DELAY);
                    }
                }
            }
            return Optional.empty();
        } finally {
            queuedAt.ifPresent(e -> runtime.permitClient.withdraw(e, request));
        }
    }

    private void withdrawFromPrevious(PermitRequest request, Optional<EndpointId> before, EndpointId now) {
        before.filter(e -> !e.equals(now)).ifPresent(e -> runtime.permitClient.withdraw(e, request));
    }

    /**
     * Returns whether waiting is pointless: every owner reports an unreachable deadline, a full queue or a request that
     * is too large.
     */
    private static boolean isUnsatisfiable(List<Refusal> reasons) {
        return !reasons.isEmpty()
                && reasons.stream()
                        .allMatch(r -> r instanceof Refusal.DeadlineUnreachable
                                || r instanceof Refusal.QueueFull
                                || r instanceof Refusal.TooLarge);
    }

    private List<EndpointId> candidates(Deadline noEndpointDeadline) throws JujuberouterException {
        RouteRequest route = admitted.route().excluding(avoided);
        if (runtime.evidence.status(call.fingerprint()) == QuarantineStatus.MARKED) {
            route = route.pinnedTo(call.fingerprint());
        }
        RouteResult result = runtime.directory.router().route(route);
        if (result instanceof RouteResult.NoneAvailable && !avoided.isEmpty()) {
            // An endpoint that failed earlier may have recovered, so it is used when there is no other.
            result = runtime.directory.router().route(route.excluding(Set.of()));
        }
        return switch (result) {
            case RouteResult.Candidates found -> found.endpoints();
            case RouteResult.TooLarge t ->
                throw refusal(
                        ErrorKind.PROMPT_TOO_LARGE, t.needed(), call.model().value(), t.largest());
            case RouteResult.UnknownModel _ ->
                throw refusal(ErrorKind.UNKNOWN_MODEL, call.model().value());
            case RouteResult.NoneAvailable _ -> List.of();
        };
    }

    private JujuberouterException refusal(ErrorKind kind, Object... arguments) {
        return lifecycle.outcomeIfEnded() == ExecutionOutcome.NOT_RUN
                ? JujuberouterException.notRun(kind, arguments)
                : JujuberouterException.mayHaveRun(kind, null, arguments);
    }

    private RequestDecision send(PermittedAttempt permittedAttempt) throws IOException, InterruptedException {
        EndpointId endpoint = permittedAttempt.acquired().endpoint();
        Optional<String> address = runtime.directory.address(endpoint);
        RequestDecision begun = lifecycle.on(new RequestEvent.PermitGranted(endpoint));
        if (address.isEmpty() || begun instanceof RequestDecision.Finish || expired(permittedAttempt)) {
            runtime.permitClient.release(endpoint, permittedAttempt.acquired().permit(), PermitEnd.NOT_SENT);
            return begun instanceof RequestDecision.Finish
                    ? begun
                    : lifecycle.on(new RequestEvent.ConnectionRefused(lifecycle.attempt()));
        }
        SentRequest sentRequest = runtime.directory.router().recordSent(endpoint, admitted.route());
        EngineAttempt engine = EngineAttempt.of(
                runtime,
                call,
                admitted,
                lifecycle,
                new EngineAttempt.AttemptOutput(writer, text, observer),
                permittedAttempt);
        PermitEnd end = PermitEnd.ABANDONED;
        try {
            RequestDecision decision = engine.run(address.get(), sentRequest);
            end = engine.permitEnd(decision);
            return decision;
        } finally {
            sentRequest.ended();
            runtime.permitClient.release(endpoint, permittedAttempt.acquired().permit(), end);
            if (end == PermitEnd.FAILED) {
                runtime.pollNow(endpoint);
            }
        }
    }

    /**
     * Returns whether the permit has expired. Nothing may be sent then, as the owner treats an expired permit as
     * unused.
     */
    private boolean expired(PermittedAttempt permittedAttempt) {
        return runtime.ticker.nanos() - permittedAttempt.acquired().validUntilNanos() >= 0;
    }
}
