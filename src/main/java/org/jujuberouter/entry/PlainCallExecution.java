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
import org.jujuberouter.engine.PlainCall;
import org.jujuberouter.engine.PlainClient;
import org.jujuberouter.engine.PlainResponse;
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

/** Executes one call to a plain service, with as many attempts as its lifecycle allows. */
final class PlainCallExecution {
    private static final Logger LOG = System.getLogger(PlainCallExecution.class.getName());
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final InstanceRuntime runtime;
    private final PlainClient client;
    private final ServiceName service;
    private final PlainCall call;
    private final RequestValidator.ValidatedRequest validated;
    private final RequestLifecycle lifecycle;
    private final Deadline deadline;
    private final Set<EndpointId> avoided = new HashSet<>();
    private int attempt;
    private PlainResponse response;

    private PlainCallExecution(
            InstanceRuntime runtime,
            PlainClient client,
            ServiceName service,
            PlainCall call,
            RequestValidator.ValidatedRequest validated,
            RequestLifecycle lifecycle,
            Deadline deadline) {
        this.runtime = runtime;
        this.client = client;
        this.service = service;
        this.call = call;
        this.validated = validated;
        this.lifecycle = lifecycle;
        this.deadline = deadline;
    }

    static PlainCallExecution of(
            InstanceRuntime runtime,
            PlainClient client,
            ServiceName service,
            PlainCall call,
            RequestValidator.ValidatedRequest validated,
            RequestLifecycle lifecycle,
            Deadline deadline) {
        return new PlainCallExecution(runtime, client, service, call, validated, lifecycle, deadline);
    }

    PlainResponse run() throws JujuberouterException, InterruptedException {
        RequestDecision decision = lifecycle.on(new RequestEvent.Admitted());
        while (true) {
            switch (decision) {
                case RequestDecision.Finish finish -> {
                    return finish(finish);
                }
                case RequestDecision.Retry retry -> avoided.addAll(retry.avoid());
                case RequestDecision.Continue _, RequestDecision.Wait _, RequestDecision.Ignore _ -> {
                    // Start the next attempt.
                }
            }
            decision = attempt();
        }
    }

    private PlainResponse finish(RequestDecision.Finish finish) throws JujuberouterException {
        if (finish.outcome() == ExecutionOutcome.COMPLETED) {
            return response;
        }
        ErrorKind kind = finish.kind().orElse(ErrorKind.INTERNAL);
        Object[] arguments = switch (kind) {
            case DEADLINE_EXCEEDED -> new Object[] {validated.deadline().toMillis()};
            case ENDPOINT_FAILED -> new Object[] {avoided, "it gave no answer"};
            default -> new Object[] {service.value()};
        };
        throw finish.outcome() == ExecutionOutcome.NOT_RUN
                ? JujuberouterException.notRun(kind, arguments)
                : JujuberouterException.mayHaveRun(kind, null, arguments);
    }

    private RequestDecision attempt() throws InterruptedException {
        attempt++;
        RunId run = new RunId(runtime.self(), validated.sequence(), attempt);
        PermitRequest request = new PermitRequest(
                run.toRequestId(),
                runtime.self(),
                validated.customer(),
                1,
                PromptClass.SHORT,
                0,
                Fingerprint.of(run.toRequestId().value()),
                false,
                deadline.atNanos());
        Optional<PermitClient.Result.Acquired> permit = awaitPermit(request);
        if (permit.isEmpty()) {
            return lifecycle.on(
                    new RequestEvent.Refused(deadline.passed() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NO_CAPACITY));
        }
        return send(run, permit.get());
    }

    private Optional<PermitClient.Result.Acquired> awaitPermit(PermitRequest request) throws InterruptedException {
        Optional<EndpointId> queuedAt = Optional.empty();
        try {
            while (!deadline.passed()) {
                switch (runtime.permitClient.acquire(request, candidates(queuedAt), queuedAt)) {
                    case PermitClient.Result.Acquired acquired -> {
                        queuedAt = Optional.empty();
                        return Optional.of(acquired);
                    }
                    case PermitClient.Result.Queued queued -> queuedAt = Optional.of(queued.endpoint());
                    case PermitClient.Result.Denied _ -> {
                        queuedAt = Optional.empty();
                        Thread.sleep(RETRY_DELAY);
                    }
                }
            }
            return Optional.empty();
        } finally {
            queuedAt.ifPresent(e -> runtime.permitClient.withdraw(e, request));
        }
    }

    private List<EndpointId> candidates(Optional<EndpointId> queuedAt) {
        if (queuedAt.isPresent()) {
            return List.of(queuedAt.get());
        }
        RouteRequest route = RouteRequest.of(ServiceVariant.plain(service), 0, 0, new long[0]);
        RouteResult result = runtime.directory.router().route(route.excluding(avoided));
        if (!(result instanceof RouteResult.Candidates) && !avoided.isEmpty()) {
            result = runtime.directory.router().route(route);
        }
        return result instanceof RouteResult.Candidates found ? found.endpoints() : List.of();
    }

    private RequestDecision send(RunId run, PermitClient.Result.Acquired permit) {
        EndpointId endpoint = permit.endpoint();
        PermitEnd end = PermitEnd.NOT_SENT;
        try {
            RequestDecision begun = lifecycle.on(new RequestEvent.PermitGranted(endpoint));
            if (begun instanceof RequestDecision.Finish) {
                return begun;
            }
            Optional<String> address = runtime.directory.address(endpoint);
            if (address.isEmpty() || runtime.ticker.nanos() - permit.validUntilNanos() >= 0) {
                return lifecycle.on(new RequestEvent.ConnectionRefused(lifecycle.attempt()));
            }
            runtime.permitClient.started(endpoint, run.toRequestId());
            RequestDecision written = lifecycle.on(new RequestEvent.FirstByteWritten(lifecycle.attempt()));
            if (!(written instanceof RequestDecision.Wait)) {
                return written;
            }
            end = PermitEnd.FAILED;
            response = client.call(address.get(), call, deadline.remaining().plusMillis(1));
            end = PermitEnd.COMPLETED;
            return lifecycle.on(new RequestEvent.Finished(lifecycle.attempt()));
        } catch (EngineException e) {
            LOG.log(Level.INFO, "[plain] Attempt {0} at {1} failed: {2}", run.toRequestId(), endpoint, e.getMessage());
            if (deadline.passed()) {
                return lifecycle.on(new RequestEvent.DeadlinePassed());
            }
            return lifecycle.on(toRequestEvent(e.progress()));
        } finally {
            runtime.permitClient.release(endpoint, permit.permit(), end);
        }
    }

    private RequestEvent toRequestEvent(EngineException.Progress progress) {
        return switch (progress) {
            case NOT_SENT -> new RequestEvent.ConnectionRefused(lifecycle.attempt());
            case REFUSED -> new RequestEvent.ConfirmedNotStarted(lifecycle.attempt());
            case SENT -> new RequestEvent.ConnectionLost(lifecycle.attempt());
        };
    }
}
