package org.jujuberouter.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.limits.LimitDecision;
import org.jujuberouter.limits.LimitKey;
import org.jujuberouter.limits.LimitName;
import org.jujuberouter.limits.LimitReservation;
import org.jujuberouter.outcome.CallKind;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.outcome.RequestLifecycle;
import org.jujuberouter.quarantine.QuarantineStatus;
import org.jujuberouter.routing.PromptBlocks;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.ServiceVariant;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;

/** Serves the completions protocol: checks the request against settings and limits, then runs it. */
final class CompletionsHandler implements CallerHttp.Handler {
    /**
     * A place for a long prompt moves to the instance where it is wanted within three heartbeats, so an instance without
     * one waits a little longer than that before it refuses.
     */
    private static final Duration LONG_PROMPT_PATIENCE = Duration.ofSeconds(5);

    private static final Duration LONG_PROMPT_PAUSE = Duration.ofMillis(250);

    private final boolean chat;
    private final CallerGate gate;
    private final InstanceRuntime runtime;
    private final EntryMetrics metrics;

    private CompletionsHandler(boolean chat, CallerGate gate, InstanceRuntime runtime, EntryMetrics metrics) {
        this.chat = chat;
        this.gate = gate;
        this.runtime = runtime;
        this.metrics = metrics;
    }

    static CompletionsHandler create(boolean chat, CallerGate gate, InstanceRuntime runtime, EntryMetrics metrics) {
        return new CompletionsHandler(chat, gate, runtime, metrics);
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        CallerGate.Entered entered = gate.enter(exchange, "POST");
        CompletionCall call = CompletionCall.parse(chat, entered.body());
        ServiceName service = serviceOf(call);
        RequestObserver observer = RequestObserver.of(runtime.ticker, entered.arrivedNanos());
        EntryMetrics.Ending ending = EntryMetrics.Ending.CALLER_LEFT;
        LimitReservation use = admit(entered.customer(), service, call);
        try (DeadlineGuard _ = exchange.closeAt(entered)) {
            run(exchange, entered, call, service, observer);
            ending = EntryMetrics.Ending.COMPLETED;
        } catch (JujuberouterException e) {
            ending = new EntryMetrics.Ending(
                    e.outcome(), e.kind().status(), e.kind().code());
            throw e;
        } finally {
            use.release(unused(call, observer, ending.outcome()));
            metrics.completion(service, entered, call, observer, ending);
        }
    }

    private void run(
            CallerExchange exchange,
            CallerGate.Entered entered,
            CompletionCall call,
            ServiceName service,
            RequestObserver observer)
            throws JujuberouterException, IOException {
        if (runtime.evidence.status(call.fingerprint()) == QuarantineStatus.QUARANTINED) {
            throw JujuberouterException.notRun(ErrorKind.QUARANTINED);
        }
        RouteRequest route = RouteRequest.of(
                ServiceVariant.of(service, call.model(), "", ""),
                call.promptTokens(),
                call.maxTokens(),
                PromptBlocks.ofText(call.prompt()));
        double weight = runtime.settings
                .settings()
                .number(new SettingTarget.ServiceCustomer(service, entered.customer()), "weight");
        Deadline deadline = new Deadline(runtime.ticker, entered.deadlineNanos());
        InferenceRun.Admitted admitted = new InferenceRun.Admitted(entered, route, weight, deadline);
        RequestLifecycle lifecycle = RequestLifecycle.of(CallKind.IDEMPOTENT, deadline, runtime.retries);
        AnswerWriter writer = AnswerWriter.of(exchange, call, entered.id());
        try {
            InferenceRun.of(runtime, call, admitted, lifecycle, writer, observer)
                    .run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.mayHaveRun(ErrorKind.STOPPING, e);
        }
    }

    /** A request that did not run used nothing of its limits; one that ran used its prompt and what was generated. */
    private static long unused(CompletionCall call, RequestObserver observer, ExecutionOutcome outcome) {
        return outcome == ExecutionOutcome.NOT_RUN
                ? call.totalTokens()
                : Math.max(0, call.maxTokens() - observer.tokens());
    }

    private ServiceName serviceOf(CompletionCall call) throws JujuberouterException {
        Settings settings = runtime.settings.settings();
        Optional<ServiceName> service = settings.services().stream()
                .filter(s -> settings.models(s).contains(call.model()))
                .findFirst();
        return service.orElseThrow(() -> JujuberouterException.invalidParameter(
                ErrorKind.UNKNOWN_MODEL, "model", call.model().value()));
    }

    private LimitReservation admit(CustomerId customer, ServiceName service, CompletionCall call)
            throws JujuberouterException {
        boolean isLong = PromptClass.of(call.promptTokens()) == PromptClass.LONG;
        Deadline patience = Deadline.after(runtime.ticker, LONG_PROMPT_PATIENCE);
        while (true) {
            switch (runtime.limits.admit(LimitKey.of(customer, service), call.totalTokens(), isLong)) {
                case LimitDecision.Admitted admitted -> {
                    return admitted.reservation();
                }
                case LimitDecision.Refused refused -> {
                    if (refused.limit() != LimitName.LONG_PROMPTS || patience.passed()) {
                        throw JujuberouterException.notRun(
                                ErrorKind.LIMIT_EXCEEDED,
                                customer.value(),
                                refused.limit().text());
                    }
                    pause();
                }
            }
        }
    }

    private static void pause() throws JujuberouterException {
        try {
            Thread.sleep(LONG_PROMPT_PAUSE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.notRun(ErrorKind.STOPPING);
        }
    }
}
