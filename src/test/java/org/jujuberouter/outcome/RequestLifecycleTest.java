package org.jujuberouter.outcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.time.Duration;
import java.util.Optional;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against a wrong outcome "not run" and against text that is delivered twice. */
class RequestLifecycleTest {
    private final ManualTicker ticker = ManualTicker.atZero();
    private final RetryBudget budget = RetryBudget.full();

    @Test
    void reportsMayHaveRunWhenOnlyALaterAttemptDidNotRun() {
        RequestLifecycle request = written(CallKind.IDEMPOTENT);
        assertInstanceOf(RequestDecision.Retry.class, request.on(new RequestEvent.ConnectionLost(1)));
        permit(request);
        request.on(new RequestEvent.ConnectionRefused(2));
        assertFinish(
                ExecutionOutcome.MAY_HAVE_RUN,
                ErrorKind.NO_CAPACITY,
                request.on(new RequestEvent.Refused(ErrorKind.NO_CAPACITY)));
    }

    @Test
    void acceptsALateConfirmationThatAnEarlierAttemptDidNotStart() {
        RequestLifecycle request = written(CallKind.IDEMPOTENT);
        request.on(new RequestEvent.ConnectionLost(1));
        assertInstanceOf(RequestDecision.Ignore.class, request.on(new RequestEvent.ConfirmedNotStarted(1)));
        assertFinish(
                ExecutionOutcome.NOT_RUN, ErrorKind.DEADLINE_EXCEEDED, request.on(new RequestEvent.DeadlinePassed()));
    }

    @Test
    void continuesAfterTheTextAndNeverRestarts() {
        RequestLifecycle request = written(CallKind.IDEMPOTENT);
        request.on(new RequestEvent.ResponseStarted(1, 120));
        for (int attempt = 1; attempt <= RequestLifecycle.MAX_CONTINUATIONS; attempt++) {
            RequestDecision decision = request.on(new RequestEvent.EndpointDown(attempt));
            assertEquals(
                    120,
                    assertInstanceOf(RequestDecision.Continue.class, decision).textOffset());
            permit(request);
        }
        assertFinish(
                ExecutionOutcome.MAY_HAVE_RUN,
                ErrorKind.ENDPOINT_FAILED,
                request.on(new RequestEvent.ConnectionRefused(4)));
    }

    @Test
    void neverResendsACallWithoutKey() {
        RequestLifecycle request = written(CallKind.UNKEYED);
        assertFinish(
                ExecutionOutcome.NOT_RUN,
                ErrorKind.ENDPOINT_FAILED,
                request.on(new RequestEvent.ConfirmedNotStarted(1)));
    }

    @Test
    void forbidsTheFirstByteAfterTheRequestWasRefused() {
        RequestLifecycle request = admitted(CallKind.IDEMPOTENT);
        permit(request);
        ticker.advance(Duration.ofSeconds(30));
        assertFinish(
                ExecutionOutcome.NOT_RUN,
                ErrorKind.DEADLINE_EXCEEDED,
                request.on(new RequestEvent.FirstByteWritten(1)));
        assertFinish(ExecutionOutcome.NOT_RUN, ErrorKind.DEADLINE_EXCEEDED, request.on(new RequestEvent.Finished(1)));
    }

    @Test
    void continuesAdmittedRequestsWhenTheInstanceStops() {
        RequestLifecycle fresh = arrived(CallKind.IDEMPOTENT);
        assertFinish(ExecutionOutcome.NOT_RUN, ErrorKind.STOPPING, fresh.on(new RequestEvent.InstanceStopping()));
        RequestLifecycle request = written(CallKind.IDEMPOTENT);
        assertInstanceOf(RequestDecision.Wait.class, request.on(new RequestEvent.InstanceStopping()));
        assertEquals(
                new RequestDecision.Finish(ExecutionOutcome.COMPLETED, Optional.empty()),
                request.on(new RequestEvent.Finished(1)));
    }

    @Test
    void addsAtMostATenthOfLoadWhenEverythingFails() {
        int attempts = 0;
        for (int i = 0; i < 1000; i++) {
            RequestLifecycle request = admitted(CallKind.IDEMPOTENT);
            do {
                permit(request);
                attempts++;
            } while (request.on(new RequestEvent.ConnectionRefused(request.attempt()))
                    instanceof RequestDecision.Retry);
        }
        assertEquals(1000 + 100 + 10, attempts, 1, "a tenth of 1000 requests and the burst of 10");
    }

    private RequestLifecycle written(CallKind kind) {
        RequestLifecycle request = admitted(kind);
        permit(request);
        assertInstanceOf(RequestDecision.Wait.class, request.on(new RequestEvent.FirstByteWritten(1)));
        return request;
    }

    private RequestLifecycle admitted(CallKind kind) {
        RequestLifecycle request = arrived(kind);
        request.on(new RequestEvent.Admitted());
        return request;
    }

    private RequestLifecycle arrived(CallKind kind) {
        return RequestLifecycle.of(kind, Deadline.after(ticker, Duration.ofSeconds(30)), budget);
    }

    private static void permit(RequestLifecycle request) {
        request.on(new RequestEvent.PermitGranted(EndpointId.of("e" + request.attempt())));
    }

    private static void assertFinish(ExecutionOutcome outcome, ErrorKind kind, RequestDecision decision) {
        assertEquals(new RequestDecision.Finish(outcome, Optional.of(kind)), decision);
    }
}
