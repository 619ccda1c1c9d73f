package org.jujuberouter.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.engine.PlainAnswer;
import org.jujuberouter.engine.PlainCall;
import org.jujuberouter.engine.PlainClient;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.RequestDecision;
import org.jujuberouter.outcome.RequestEvent;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.RouteResult;
import org.jujuberouter.routing.ServiceVariant;

/** Carries one call to a plain service to its end, with as many attempts as its lifecycle allows. */
final class PlainRun {
    private static final Logger LOG = System.getLogger(PlainRun.class.getName());
    private static final Duration PAUSE = Duration.ofMillis(50);

    private final InstanceRuntime runtime;
    private final PlainClient client;
    private final ServiceName service;
    private final PlainCall call;
    private final CallerGate.Entered entered;
    private final RequestLifecycle lifecycle;
    private final Deadline deadline;
    private final Set<EndpointId> avoid = new HashSet<>();
    private int attempt;
    private PlainAnswer answer;

    private PlainRun(
            InstanceRuntime runtime,
            PlainClient client,
            ServiceName service,
            PlainCall call,
            CallerGate.Entered entered,
            RequestLifecycle lifecycle,
            Deadline deadline) {
        this.runtime = runtime;
        this.client = client;
        this.service = service;
        this.call = call;
        this.entered = entered;
        this.lifecycle = lifecycle;
        this.deadline = deadline;
    }

    static PlainRun of(
            InstanceRuntime runtime,
            PlainClient client,
            ServiceName service,
            PlainCall call,
            CallerGate.Entered entered,
            RequestLifecycle lifecycle,
            Deadline deadline) {
        return new PlainRun(runtime, client, service, call, entered, lifecycle, deadline);
    }

    PlainAnswer run() throws JujuberouterException, InterruptedException {
        RequestDecision decision = lifecycle.on(new RequestEvent.Admitted());
        while (true) {
            switch (decision) {
                case RequestDecision.Finish finish -> {
                    return finish(finish);
                }
                case RequestDecision.Retry retry -> avoid.addAll(retry.avoid());
                case RequestDecision.Continue _, RequestDecision.Wait _, RequestDecision.Ignore _ -> {
                    // The next attempt follows.
                }
            }
            decision = attempt();
        }
    }

    private PlainAnswer finish(RequestDecision.Finish finish) throws JujuberouterException {
        if (finish.outcome() == ExecutionOutcome.COMPLETED) {
            return answer;
        }
        ErrorKind kind = finish.kind().orElse(ErrorKind.INTERNAL);
        Object[] facts = switch (kind) {
            case DEADLINE_EXCEEDED -> new Object[] {entered.deadline().toMillis()};
            case ENDPOINT_FAILED -> new Object[] {avoid, "it gave no answer"};
            default -> new Object[] {service.value()};
        };
        throw finish.outcome() == ExecutionOutcome.NOT_RUN
                ? JujuberouterException.notRun(kind, facts)
                : JujuberouterException.mayHaveRun(kind, null, facts);
    }

    private RequestDecision attempt() throws InterruptedException {
        attempt++;
        RunId run = new RunId(runtime.self(), entered.sequence(), attempt);
        PermitRequest request = new PermitRequest(
                run.toRequestId(),
                runtime.self(),
                entered.customer(),
                1,
                PromptClass.SHORT,
                0,
                Fingerprint.of(run.toRequestId().value()),
                false,
                deadline.atNanos());
        Optional<PermitBroker.Result.Acquired> permit = awaitPermit(request);
        if (permit.isEmpty()) {
            return lifecycle.on(
                    new RequestEvent.Refused(deadline.passed() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NO_CAPACITY));
        }
        return send(run, permit.get());
    }

    private Optional<PermitBroker.Result.Acquired> awaitPermit(PermitRequest request) throws InterruptedException {
        Optional<EndpointId> queuedAt = Optional.empty();
        try {
            while (!deadline.passed()) {
                switch (runtime.broker.acquire(request, candidates(queuedAt), queuedAt)) {
                    case PermitBroker.Result.Acquired acquired -> {
                        queuedAt = Optional.empty();
                        return Optional.of(acquired);
                    }
                    case PermitBroker.Result.Queued queued -> queuedAt = Optional.of(queued.endpoint());
                    case PermitBroker.Result.Denied _ -> {
                        queuedAt = Optional.empty();
                        Thread.sleep(PAUSE);
                    }
                }
            }
            return Optional.empty();
        } finally {
            queuedAt.ifPresent(e -> runtime.broker.withdraw(e, request));
        }
    }

    private List<EndpointId> candidates(Optional<EndpointId> queuedAt) {
        if (queuedAt.isPresent()) {
            return List.of(queuedAt.get());
        }
        RouteRequest route = RouteRequest.of(ServiceVariant.plain(service), 0, 0, new long[0]);
        RouteResult result = runtime.fleet.router().route(route.excluding(avoid));
        if (!(result instanceof RouteResult.Candidates) && !avoid.isEmpty()) {
            result = runtime.fleet.router().route(route);
        }
        return result instanceof RouteResult.Candidates found ? found.endpoints() : List.of();
    }

    private RequestDecision send(RunId run, PermitBroker.Result.Acquired permit) {
        EndpointId endpoint = permit.endpoint();
        PermitEnd end = PermitEnd.NOT_SENT;
        try {
            RequestDecision begun = lifecycle.on(new RequestEvent.PermitGranted(endpoint));
            if (begun instanceof RequestDecision.Finish) {
                return begun;
            }
            Optional<String> address = runtime.fleet.address(endpoint);
            if (address.isEmpty() || runtime.ticker.nanos() - permit.validUntil() >= 0) {
                return lifecycle.on(new RequestEvent.ConnectionRefused(lifecycle.attempt()));
            }
            runtime.broker.started(endpoint, run.toRequestId());
            RequestDecision written = lifecycle.on(new RequestEvent.FirstByteWritten(lifecycle.attempt()));
            if (!(written instanceof RequestDecision.Wait)) {
                return written;
            }
            end = PermitEnd.FAILED;
            answer = client.call(address.get(), call, deadline.remaining().plusMillis(1));
            end = PermitEnd.COMPLETED;
            return lifecycle.on(new RequestEvent.Finished(lifecycle.attempt()));
        } catch (EngineException e) {
            LOG.log(Level.INFO, "[plain] Attempt {0} at {1} failed: {2}", run.toRequestId(), endpoint, e.getMessage());
            if (deadline.passed()) {
                return lifecycle.on(new RequestEvent.DeadlinePassed());
            }
            return lifecycle.on(event(e.progress()));
        } finally {
            runtime.broker.release(endpoint, permit.permit(), end);
        }
    }

    private RequestEvent event(EngineException.Progress progress) {
        return switch (progress) {
            case NOT_SENT -> new RequestEvent.ConnectionRefused(lifecycle.attempt());
            case REFUSED -> new RequestEvent.ConfirmedNotStarted(lifecycle.attempt());
            case SENT -> new RequestEvent.ConnectionLost(lifecycle.attempt());
        };
    }
}
