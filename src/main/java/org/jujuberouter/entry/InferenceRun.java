package org.jujuberouter.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.admission.Lane;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.error.Outcome;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.RequestDecision;
import org.jujuberouter.outcome.RequestEvent;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.quarantine.ClearNotice;
import org.jujuberouter.quarantine.RunDecision;
import org.jujuberouter.quarantine.Standing;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.RouteResult;
import org.jujuberouter.routing.SentRequest;

/**
 * Carries one inference request from admission to its end: route, consent, permit, attempt, and again as the lifecycle
 * decides.
 *
 * <p>Each attempt has its own run id, permit and engine request. The lifecycle alone decides whether another attempt
 * follows and what the caller is told.
 */
final class InferenceRun {
    /** How long to wait before routing again when no endpoint could be asked. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    /** A queue elsewhere may have become shorter meanwhile. */
    private static final int ASKS_BEFORE_NEW_ROUND = 4;

    /** How long a request waits for an endpoint while none of its service is in service. */
    private static final Duration NO_ENDPOINT_WAIT = Duration.ofSeconds(20);

    private final InstanceRuntime runtime;
    private final CompletionCall call;
    private final Admitted admitted;
    private final RequestLifecycle lifecycle;
    private final AnswerWriter writer;
    private final RequestObserver observer;
    private final Set<EndpointId> avoid = new HashSet<>();
    private final StringBuilder text = new StringBuilder();
    private int attempt;

    private InferenceRun(
            InstanceRuntime runtime,
            CompletionCall call,
            Admitted admitted,
            RequestLifecycle lifecycle,
            AnswerWriter writer,
            RequestObserver observer) {
        this.runtime = runtime;
        this.call = call;
        this.admitted = admitted;
        this.lifecycle = lifecycle;
        this.writer = writer;
        this.observer = observer;
    }

    static InferenceRun of(
            InstanceRuntime runtime,
            CompletionCall call,
            Admitted admitted,
            RequestLifecycle lifecycle,
            AnswerWriter writer,
            RequestObserver observer) {
        return new InferenceRun(runtime, call, admitted, lifecycle, writer, observer);
    }

    /**
     * What admission found out about a request.
     *
     * @param entered the checked request
     * @param route what routing needs to know
     * @param weight the customer's weight
     * @param deadline the deadline
     */
    record Admitted(CallerGate.Entered entered, RouteRequest route, double weight, Deadline deadline) {}

    /** An attempt that may be sent. */
    record Granted(RunId run, InstanceId arbiter, PermitBroker.Result.Acquired permit, Lane lane) {}

    /** Runs until the answer is whole or the request has failed. */
    void run() throws JujuberouterException, IOException, InterruptedException {
        RequestDecision decision = lifecycle.on(new RequestEvent.Admitted());
        while (true) {
            switch (decision) {
                case RequestDecision.Finish finish -> {
                    finish(finish);
                    return;
                }
                case RequestDecision.Retry retry -> avoid.addAll(retry.avoid());
                case RequestDecision.Continue next -> avoid.addAll(next.avoid());
                case RequestDecision.Wait _, RequestDecision.Ignore _ -> {
                    // The first attempt follows.
                }
            }
            decision = attempt();
        }
    }

    private void finish(RequestDecision.Finish finish) throws JujuberouterException, IOException {
        if (finish.outcome() == Outcome.COMPLETED) {
            writer.finish();
            return;
        }
        ErrorKind kind = finish.kind().orElse(ErrorKind.INTERNAL);
        Object[] facts = switch (kind) {
            case DEADLINE_EXCEEDED ->
                new Object[] {admitted.entered().deadline().toMillis()};
            case ENDPOINT_FAILED -> new Object[] {avoid, "the request could not go on elsewhere"};
            default -> new Object[] {call.model().value()};
        };
        throw finish.outcome() == Outcome.NOT_RUN
                ? JujuberouterException.notRun(kind, facts)
                : JujuberouterException.mayHaveRun(kind, null, facts);
    }

    private RequestDecision attempt() throws IOException, InterruptedException, JujuberouterException {
        attempt++;
        RunId run = new RunId(runtime.self(), admitted.entered().sequence(), attempt);
        Optional<InstanceId> arbiter = awaitConsent(run);
        if (arbiter.isEmpty()) {
            return lifecycle.on(new RequestEvent.Refused(ErrorKind.QUARANTINED));
        }
        PeerMessage.RunOutcome ending = PeerMessage.RunOutcome.RELEASED;
        Optional<String> crashId = Optional.empty();
        try {
            Optional<PermitBroker.Result.Acquired> permit = awaitPermit(run);
            if (permit.isEmpty()) {
                return lifecycle.on(new RequestEvent.Refused(
                        admitted.deadline().passed() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NO_CAPACITY));
            }
            Granted granted = new Granted(run, arbiter.get(), permit.get(), lane());
            RequestDecision decision = send(granted);
            if (decision instanceof RequestDecision.Finish f && f.outcome() == Outcome.COMPLETED) {
                ending = PeerMessage.RunOutcome.COMPLETED;
                completed();
            } else if (decision instanceof RequestDecision.Retry || decision instanceof RequestDecision.Continue) {
                ending = PeerMessage.RunOutcome.LOST;
                crashId = Optional.of(granted.permit().crashId()).filter(id -> !id.isEmpty());
            }
            return decision;
        } finally {
            runtime.consent.ended(arbiter.get(), call.fingerprint(), run.toRequestId(), ending, crashId);
        }
    }

    private void completed() {
        Optional<ClearNotice> cleared = runtime.evidence.completed(call.fingerprint());
        cleared.ifPresent(c -> runtime.network.broadcast(new PeerMessage.ClearNotice(
                c.fingerprint(), List.copyOf(c.crashIds()), c.age().toMillis())));
    }

    /** Waits until the arbiter lets the request run; empty when it is quarantined. */
    private Optional<InstanceId> awaitConsent(RunId run) throws InterruptedException {
        while (true) {
            RunConsent.Consent consent = runtime.consent.ask(
                    call.fingerprint(), run.toRequestId(), admitted.deadline().remaining());
            switch (consent.decision()) {
                case RunDecision.Run _ -> {
                    return Optional.of(consent.arbiter());
                }
                case RunDecision.Refuse _ -> {
                    return Optional.empty();
                }
                case RunDecision.Wait _ -> {
                    if (admitted.deadline().passed()) {
                        return Optional.of(consent.arbiter());
                    }
                    Thread.sleep(PAUSE);
                }
            }
        }
    }

    private Lane lane() {
        return Lane.of(call.promptTokens());
    }

    private PermitRequest permitRequest(RunId run) {
        return new PermitRequest(
                run.toRequestId(),
                runtime.self(),
                admitted.entered().customer(),
                admitted.weight(),
                lane(),
                call.totalTokens(),
                call.fingerprint(),
                runtime.evidence.standing(call.fingerprint()) == Standing.MARKED,
                admitted.deadline().atNanos());
    }

    /** Asks owners until one grants; empty when none can before the deadline. */
    private Optional<PermitBroker.Result.Acquired> awaitPermit(RunId run)
            throws InterruptedException, JujuberouterException {
        PermitRequest request = permitRequest(run);
        Deadline noEndpoint = Deadline.after(runtime.ticker, NO_ENDPOINT_WAIT);
        Optional<EndpointId> queuedAt = Optional.empty();
        int asks = 0;
        try {
            while (!admitted.deadline().passed()) {
                boolean newRound = queuedAt.isEmpty() || asks++ % ASKS_BEFORE_NEW_ROUND == 0;
                List<EndpointId> candidates = newRound ? candidates(noEndpoint) : List.of(queuedAt.get());
                if (candidates.isEmpty() && noEndpoint.passed()) {
                    return Optional.empty();
                }
                switch (runtime.broker.acquire(request, candidates, queuedAt)) {
                    case PermitBroker.Result.Acquired acquired -> {
                        queuedAt = Optional.empty();
                        return Optional.of(acquired);
                    }
                    case PermitBroker.Result.Queued queued -> {
                        leaveOther(request, queuedAt, queued.endpoint());
                        queuedAt = Optional.of(queued.endpoint());
                    }
                    case PermitBroker.Result.Denied denied -> {
                        if (isHopeless(denied.reasons())) {
                            return Optional.empty();
                        }
                        Thread.sleep(PAUSE);
                    }
                }
            }
            return Optional.empty();
        } finally {
            queuedAt.ifPresent(e -> runtime.broker.withdraw(e, request));
        }
    }

    private void leaveOther(PermitRequest request, Optional<EndpointId> before, EndpointId now) {
        before.filter(e -> !e.equals(now)).ifPresent(e -> runtime.broker.withdraw(e, request));
    }

    /** Waiting is of no use when every owner says that the deadline cannot be met. */
    private static boolean isHopeless(List<Refusal> reasons) {
        return !reasons.isEmpty()
                && reasons.stream()
                        .allMatch(r -> r instanceof Refusal.DeadlineUnreachable
                                || r instanceof Refusal.QueueFull
                                || r instanceof Refusal.TooLarge);
    }

    private List<EndpointId> candidates(Deadline noEndpoint) throws JujuberouterException {
        RouteRequest route = admitted.route().excluding(avoid);
        if (runtime.evidence.standing(call.fingerprint()) == Standing.MARKED) {
            route = route.pinnedTo(call.fingerprint());
        }
        RouteResult result = runtime.fleet.router().route(route);
        if (result instanceof RouteResult.NoneAvailable && !avoid.isEmpty()) {
            // An endpoint that failed may be back; it is better than none.
            result = runtime.fleet.router().route(route.excluding(Set.of()));
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

    private JujuberouterException refusal(ErrorKind kind, Object... facts) {
        return lifecycle.outcomeIfEnded() == Outcome.NOT_RUN
                ? JujuberouterException.notRun(kind, facts)
                : JujuberouterException.mayHaveRun(kind, null, facts);
    }

    private RequestDecision send(Granted granted) throws IOException, InterruptedException {
        EndpointId endpoint = granted.permit().endpoint();
        Optional<String> address = runtime.fleet.address(endpoint);
        RequestDecision begun = lifecycle.on(new RequestEvent.PermitGranted(endpoint));
        if (address.isEmpty() || begun instanceof RequestDecision.Finish || expired(granted)) {
            runtime.broker.release(endpoint, granted.permit().permit(), PermitEnd.NOT_SENT);
            return begun instanceof RequestDecision.Finish
                    ? begun
                    : lifecycle.on(new RequestEvent.ConnectionRefused(lifecycle.attempt()));
        }
        SentRequest work = runtime.fleet.router().recordSent(endpoint, admitted.route());
        EngineAttempt engine = EngineAttempt.of(
                runtime, call, admitted, lifecycle, new EngineAttempt.Output(writer, text, observer), granted);
        PermitEnd end = PermitEnd.ABANDONED;
        try {
            RequestDecision decision = engine.run(address.get(), work);
            end = engine.permitEnd(decision);
            return decision;
        } finally {
            work.ended();
            runtime.broker.release(endpoint, granted.permit().permit(), end);
            if (end == PermitEnd.FAILED) {
                runtime.askNow(endpoint);
            }
        }
    }

    /** No byte may be sent after the permit's life, which the owner counts as unused. */
    private boolean expired(Granted granted) {
        return runtime.ticker.nanos() - granted.permit().validUntil() >= 0;
    }
}
