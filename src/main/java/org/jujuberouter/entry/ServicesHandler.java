package org.jujuberouter.entry;

import java.io.IOException;
import org.jujuberouter.engine.PlainCall;
import org.jujuberouter.engine.PlainClient;
import org.jujuberouter.engine.PlainResponse;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.limits.LimitDecision;
import org.jujuberouter.limits.LimitKey;
import org.jujuberouter.limits.LimitReservation;
import org.jujuberouter.outcome.BeginResult;
import org.jujuberouter.outcome.CallKind;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.KeyedAttempt;
import org.jujuberouter.outcome.KeyedCall;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.outcome.StoredResult;
import org.jujuberouter.settings.Settings;

/**
 * Forwards calls to plain services.
 *
 * <p>The call rules of a service define which calls are idempotent. Any other call is recorded in the store before its
 * first byte is sent if it has an idempotency key, and is sent at most once by this instance if it has none.
 */
final class ServicesHandler implements CallerHttpServer.Handler {
    static final String PREFIX = "/services/";

    /**
     * Larger responses are not stored; a resend then gets the error that the call is a duplicate instead of a replay.
     */
    private static final int MAX_STORED_BYTES = 16 * 1024;

    private final RequestValidator validator;
    private final InstanceRuntime runtime;
    private final PlainClient client;
    private final EntryMetrics metrics;

    private ServicesHandler(
            RequestValidator validator, InstanceRuntime runtime, PlainClient client, EntryMetrics metrics) {
        this.validator = validator;
        this.runtime = runtime;
        this.client = client;
        this.metrics = metrics;
    }

    static ServicesHandler create(RequestValidator validator, InstanceRuntime runtime, EntryMetrics metrics) {
        return new ServicesHandler(validator, runtime, PlainClient.create(), metrics);
    }

    /** The service that a call is addressed to, and the path at the service. */
    private record ServiceTarget(ServiceName service, String path, String pathAndQuery) {
        static ServiceTarget of(CallerExchange exchange) throws JujuberouterException {
            String rest = exchange.pathAndQuery().substring(PREFIX.length());
            int slash = rest.indexOf('/');
            String name = slash < 0 ? rest : rest.substring(0, slash);
            if (name.isBlank()) {
                throw JujuberouterException.notRun(ErrorKind.UNKNOWN_PATH, exchange.path());
            }
            String pathAndQuery = slash < 0 ? "/" : rest.substring(slash);
            int query = pathAndQuery.indexOf('?');
            return new ServiceTarget(
                    ServiceName.of(name), query < 0 ? pathAndQuery : pathAndQuery.substring(0, query), pathAndQuery);
        }
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        RequestValidator.ValidatedRequest validated = validator.validate(exchange, null);
        ServiceTarget target = ServiceTarget.of(exchange);
        Settings settings = runtime.settings.settings();
        if (!settings.services().contains(target.service()) || settings.isInference(target.service())) {
            throw JujuberouterException.notRun(
                    ErrorKind.UNKNOWN_SERVICE, target.service().value());
        }
        LimitReservation reservation = admit(validated, target.service());
        EntryMetrics.RequestResult result = EntryMetrics.RequestResult.CALLER_DISCONNECTED;
        try {
            call(exchange, validated, target, kind(settings, exchange, validated, target));
            result = EntryMetrics.RequestResult.COMPLETED;
        } catch (JujuberouterException e) {
            result = new EntryMetrics.RequestResult(
                    e.outcome(), e.kind().status(), e.kind().code());
            throw e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.mayHaveRun(ErrorKind.STOPPING, e);
        } finally {
            reservation.release(0);
            metrics.recordPlainCall(target.service(), validated, exchange.method(), result);
        }
    }

    private static CallKind kind(
            Settings settings,
            CallerExchange exchange,
            RequestValidator.ValidatedRequest validated,
            ServiceTarget target) {
        if (settings.idempotencyRules(target.service()).isIdempotent(exchange.method(), target.path())) {
            return CallKind.IDEMPOTENT;
        }
        return validated.key().isPresent() ? CallKind.KEYED : CallKind.UNKEYED;
    }

    private LimitReservation admit(RequestValidator.ValidatedRequest validated, ServiceName service)
            throws JujuberouterException {
        return switch (runtime.limits.admit(LimitKey.of(validated.customer(), service), 0, false)) {
            case LimitDecision.Admitted admitted -> admitted.reservation();
            case LimitDecision.Refused refused ->
                throw JujuberouterException.notRun(
                        ErrorKind.LIMIT_EXCEEDED,
                        validated.customer().value(),
                        refused.limit().text());
        };
    }

    private void call(
            CallerExchange exchange, RequestValidator.ValidatedRequest validated, ServiceTarget target, CallKind kind)
            throws JujuberouterException, IOException, InterruptedException {
        if (kind != CallKind.KEYED) {
            PlainResponse response = run(exchange, validated, target, kind);
            exchange.send(response.status(), response.contentType(), response.body());
            return;
        }
        IdempotencyKey key = validated.key().orElseThrow();
        KeyedCall keyedCall = KeyedCall.of(
                validated.customer(),
                key,
                target.service(),
                exchange.method() + " " + target.pathAndQuery(),
                validated.body());
        switch (runtime.idempotencyStore.begin(keyedCall, validated.id())) {
            case BeginResult.Run run -> runKeyed(exchange, validated, target, run.attempt());
            case BeginResult.Replay replay -> {
                StoredResult result = replay.result();
                exchange.setHeader("Idempotency-Replayed", "true");
                exchange.send(result.status(), result.contentType(), result.body());
            }
            case BeginResult.Duplicate _ ->
                throw JujuberouterException.mayHaveRun(ErrorKind.DUPLICATE_CALL, null, key.value());
            case BeginResult.KeyReused _ ->
                throw JujuberouterException.invalidParameter(ErrorKind.KEY_REUSED, "Idempotency-Key", key.value());
            case BeginResult.Unavailable _ ->
                throw JujuberouterException.notRun(ErrorKind.STORE_UNAVAILABLE, "the record of this call");
        }
    }

    private void runKeyed(
            CallerExchange exchange,
            RequestValidator.ValidatedRequest validated,
            ServiceTarget target,
            KeyedAttempt attempt)
            throws JujuberouterException, IOException, InterruptedException {
        PlainResponse response;
        try {
            response = run(exchange, validated, target, CallKind.KEYED);
        } catch (JujuberouterException e) {
            if (e.outcome() == ExecutionOutcome.NOT_RUN) {
                runtime.idempotencyStore.recordNotRun(attempt);
            }
            // Otherwise the record stays in the started state, as the call may have run.
            throw e;
        }
        if (response.body().length <= MAX_STORED_BYTES) {
            runtime.idempotencyStore.recordResult(
                    attempt, StoredResult.of(response.status(), response.contentType(), response.body()));
            Thread.ofVirtual().start(runtime.idempotencyStore::processPending);
        }
        exchange.send(response.status(), response.contentType(), response.body());
    }

    private PlainResponse run(
            CallerExchange exchange, RequestValidator.ValidatedRequest validated, ServiceTarget target, CallKind kind)
            throws JujuberouterException, InterruptedException {
        Deadline deadline = new Deadline(runtime.ticker, validated.deadlineNanos());
        RequestLifecycle lifecycle = RequestLifecycle.of(kind, deadline, runtime.retryBudget);
        PlainCall call = new PlainCall(
                validated.id(),
                exchange.method(),
                target.pathAndQuery(),
                exchange.header("Content-Type").orElse(null),
                validated.key().orElse(null),
                validated.body());
        return PlainCallExecution.of(runtime, client, target.service(), call, validated, lifecycle, deadline)
                .run();
    }
}
