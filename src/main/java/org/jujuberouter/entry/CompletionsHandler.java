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

/** Handles requests to the completions API: checks settings, limits and quarantine, then executes the request. */
final class CompletionsHandler implements CallerHttpServer.Handler {
    /**
     * How long a request waits for a share of the limit on concurrent long prompts. Shares move to the instance with
     * demand within three heartbeats, so the timeout is slightly longer than that.
     */
    private static final Duration LONG_PROMPT_ADMISSION_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration LONG_PROMPT_RETRY_DELAY = Duration.ofMillis(250);

    private final boolean chat;
    private final RequestValidator validator;
    private final InstanceRuntime runtime;
    private final EntryMetrics metrics;

    private CompletionsHandler(
            boolean chat, RequestValidator validator, InstanceRuntime runtime, EntryMetrics metrics) {
        this.chat = chat;
        this.validator = validator;
        this.runtime = runtime;
        this.metrics = metrics;
    }

    static CompletionsHandler create(
            boolean chat, RequestValidator validator, InstanceRuntime runtime, EntryMetrics metrics) {
        return new CompletionsHandler(chat, validator, runtime, metrics);
    }

    @Override
    public void handle(CallerExchange exchange) throws JujuberouterException, IOException {
        RequestValidator.ValidatedRequest validated = validator.validate(exchange, "POST");
        CompletionCall call = CompletionCall.parse(chat, validated.body());
        ServiceName service = serviceOf(call);
        RequestObserver observer = RequestObserver.of(runtime.ticker, validated.arrivedNanos());
        EntryMetrics.RequestResult result = EntryMetrics.RequestResult.CALLER_DISCONNECTED;
        LimitReservation reservation = admit(validated.customer(), service, call);
        try (DeadlineGuard _ = exchange.closeAfterDeadline(validated)) {
            run(exchange, validated, call, service, observer);
            result = EntryMetrics.RequestResult.COMPLETED;
        } catch (JujuberouterException e) {
            result = new EntryMetrics.RequestResult(
                    e.outcome(), e.kind().status(), e.kind().code());
            throw e;
        } finally {
            reservation.release(unusedTokens(call, observer, result.outcome()));
            metrics.recordCompletion(service, validated, call, observer, result);
        }
    }

    private void run(
            CallerExchange exchange,
            RequestValidator.ValidatedRequest validated,
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
                .number(new SettingTarget.ServiceCustomer(service, validated.customer()), "weight");
        Deadline deadline = new Deadline(runtime.ticker, validated.deadlineNanos());
        InferenceExecution.AdmittedRequest admitted =
                new InferenceExecution.AdmittedRequest(validated, route, weight, deadline);
        RequestLifecycle lifecycle = RequestLifecycle.of(CallKind.IDEMPOTENT, deadline, runtime.retryBudget);
        ResponseWriter writer = ResponseWriter.of(exchange, call, validated.id());
        try {
            InferenceExecution.of(runtime, call, admitted, lifecycle, writer, observer)
                    .run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.mayHaveRun(ErrorKind.STOPPING, e);
        }
    }

    /** Returns the tokens to credit back: all if the request did not run, else those reserved but not generated. */
    private static long unusedTokens(CompletionCall call, RequestObserver observer, ExecutionOutcome outcome) {
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
        Deadline retryDeadline = Deadline.after(runtime.ticker, LONG_PROMPT_ADMISSION_TIMEOUT);
        while (true) {
            switch (runtime.limits.admit(LimitKey.of(customer, service), call.totalTokens(), isLong)) {
                case LimitDecision.Admitted admitted -> {
                    return admitted.reservation();
                }
                case LimitDecision.Refused refused -> {
                    if (refused.limit() != LimitName.LONG_PROMPTS || retryDeadline.passed()) {
                        throw JujuberouterException.notRun(
                                ErrorKind.LIMIT_EXCEEDED,
                                customer.value(),
                                refused.limit().text());
                    }
                    awaitRetry();
                }
            }
        }
    }

    private static void awaitRetry() throws JujuberouterException {
        try {
            Thread.sleep(LONG_PROMPT_RETRY_DELAY);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw JujuberouterException.notRun(ErrorKind.STOPPING);
        }
    }
}
