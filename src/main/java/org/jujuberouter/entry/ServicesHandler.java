package org.jujuberouter.entry;

import java.io.IOException;
import org.jujuberouter.engine.PlainAnswer;
import org.jujuberouter.engine.PlainCall;
import org.jujuberouter.engine.PlainClient;
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
 * Passes calls on to plain services.
 *
 * <p>The service's call rules say which calls are idempotent. Of the others, one with an idempotency key is recorded in the
 * store before a byte of it leaves, and one without is sent at most once by this instance.
 */
final class ServicesHandler implements CallerHttp.Handler {
    static final String PREFIX = "/services/";

    /** Larger answers are not stored; a resend is then told that the call ran, without its body. */
    private static final int MAX_STORED_BYTES = 16 * 1024;

    private final CallerGate gate;
    private final InstanceRuntime runtime;
    private final PlainClient client;
    private final EntryMetrics metrics;

    private ServicesHandler(CallerGate gate, InstanceRuntime runtime, PlainClient client, EntryMetrics metrics) {
        this.gate = gate;
        this.runtime = runtime;
        this.client = client;
        this.metrics = metrics;
    }

    static ServicesHandler create(CallerGate gate, InstanceRuntime runtime, EntryMetrics metrics) {
        return new ServicesHandler(gate, runtime, PlainClient.create(), metrics);
    }

    /** A call with what its path says. */
    private record Target(ServiceName service, String path, String pathAndQuery) {
        static Target of(CallerExchange exchange) throws JujuberouterException {
            String rest = exchange.pathAndQuery().substring(PREFIX.length());
            int slash = rest.indexOf('/');
            String name = slash < 0 ? rest : rest.substring(0, slash);
            if (name.isBlank()) {
                throw JujuberouterException.notRun(ErrorKind.UNKNOWN_PATH, exchange.path());
            }
            String pathAndQuery = slash < 0 ? "/" : rest.substring(slash);
            int query = pathAndQuery.indexOf('?');
            return new Target(
                    ServiceName.of(name), query < 0 ? pathAndQuery : pathAndQuery.substring(0, query), pathAndQuery);
        }
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        CallerGate.Entered entered = gate.enter(exchange, null);
        Target target = Target.of(exchange);
        Settings settings = runtime.settings.settings();
        if (!settings.services().contains(target.service()) || settings.isInference(target.service())) {
            throw JujuberouterException.notRun(
                    ErrorKind.UNKNOWN_SERVICE, target.service().value());
        }
        LimitReservation use = admit(entered, target.service());
        EntryMetrics.Ending ending = EntryMetrics.Ending.CALLER_LEFT;
        try {
            call(exchange, entered, target, kind(settings, exchange, entered, target));
            ending = EntryMetrics.Ending.COMPLETED;
        } catch (JujuberouterException e) {
            ending = new EntryMetrics.Ending(
                    e.outcome(), e.kind().status(), e.kind().code());
            throw e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.mayHaveRun(ErrorKind.STOPPING, e);
        } finally {
            use.release(0);
            metrics.plain(target.service(), entered, exchange.method(), ending);
        }
    }

    private static CallKind kind(
            Settings settings, CallerExchange exchange, CallerGate.Entered entered, Target target) {
        if (settings.idempotencyRules(target.service()).isIdempotent(exchange.method(), target.path())) {
            return CallKind.IDEMPOTENT;
        }
        return entered.key().isPresent() ? CallKind.KEYED : CallKind.UNKEYED;
    }

    private LimitReservation admit(CallerGate.Entered entered, ServiceName service) throws JujuberouterException {
        return switch (runtime.limits.admit(LimitKey.of(entered.customer(), service), 0, false)) {
            case LimitDecision.Admitted admitted -> admitted.reservation();
            case LimitDecision.Refused refused ->
                throw JujuberouterException.notRun(
                        ErrorKind.LIMIT_EXCEEDED,
                        entered.customer().value(),
                        refused.limit().text());
        };
    }

    private void call(CallerExchange exchange, CallerGate.Entered entered, Target target, CallKind kind)
            throws JujuberouterException, IOException, InterruptedException {
        if (kind != CallKind.KEYED) {
            PlainAnswer answer = run(exchange, entered, target, kind);
            exchange.send(answer.status(), answer.contentType(), answer.body());
            return;
        }
        IdempotencyKey key = entered.key().orElseThrow();
        KeyedCall once = KeyedCall.of(
                entered.customer(),
                key,
                target.service(),
                exchange.method() + " " + target.pathAndQuery(),
                entered.body());
        switch (runtime.once.begin(once, entered.id())) {
            case BeginResult.Run run -> runOnce(exchange, entered, target, run.attempt());
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

    private void runOnce(CallerExchange exchange, CallerGate.Entered entered, Target target, KeyedAttempt attempt)
            throws JujuberouterException, IOException, InterruptedException {
        PlainAnswer answer;
        try {
            answer = run(exchange, entered, target, CallKind.KEYED);
        } catch (JujuberouterException e) {
            if (e.outcome() == ExecutionOutcome.NOT_RUN) {
                runtime.once.recordNotRun(attempt);
            }
            // Otherwise the record stays as started: nothing can prove that the call did not run.
            throw e;
        }
        if (answer.body().length <= MAX_STORED_BYTES) {
            runtime.once.recordResult(attempt, StoredResult.of(answer.status(), answer.contentType(), answer.body()));
            Thread.ofVirtual().start(runtime.once::processPending);
        }
        exchange.send(answer.status(), answer.contentType(), answer.body());
    }

    private PlainAnswer run(CallerExchange exchange, CallerGate.Entered entered, Target target, CallKind kind)
            throws JujuberouterException, InterruptedException {
        Deadline deadline = new Deadline(runtime.ticker, entered.deadlineNanos());
        RequestLifecycle lifecycle = RequestLifecycle.of(kind, deadline, runtime.retries);
        PlainCall call = new PlainCall(
                entered.id(),
                exchange.method(),
                target.pathAndQuery(),
                exchange.header("Content-Type").orElse(null),
                entered.key().orElse(null),
                entered.body());
        return PlainRun.of(runtime, client, target.service(), call, entered, lifecycle, deadline)
                .run();
    }
}
