package org.jujuberouter.outcome;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Ticker;

/**
 * State machine of one request: decides after each event whether the request is retried, continued, finished or left
 * running.
 *
 * <p>The reported outcome depends on one set: the attempts of which a byte may have been sent and which no endpoint has
 * confirmed as not started. A request is "not run" only while this set is empty. A later attempt that ends before
 * anything was sent does not change that an earlier one may have run.
 *
 * <p>Text is never delivered twice. Once text has arrived, an idempotent request is continued after that text and never
 * restarted. A non-idempotent call with a key is retried only while the set is empty, one without a key never.
 *
 * <p>Continuations do not consume the retry budget: an engine that dies can have more streams than the budget's burst,
 * and all of them must continue. They are limited per request, and each needs a permit like any other attempt.
 *
 * <p>Thread-safe: the reader, the writer and the timer of a request may report concurrently. The decision to finish is
 * made once and returned for every later event.
 */
public final class RequestLifecycle {
    /** When a fourth endpoint also fails, the request itself is probably the cause. */
    public static final int MAX_CONTINUATIONS = 3;

    private final CallKind callKind;
    private final Deadline deadline;
    private final RetryBudget budget;
    private final Map<Integer, EndpointId> endpoints = new HashMap<>();
    private final Set<EndpointId> avoid = new LinkedHashSet<>();
    private final Set<Integer> mayHaveRun = new TreeSet<>();
    private boolean admitted;
    private int attempt;
    private boolean running;
    private int continuations;
    private long textOffset;
    private RequestDecision.Finish finish;

    private RequestLifecycle(CallKind callKind, Deadline deadline, RetryBudget budget) {
        this.callKind = callKind;
        this.deadline = deadline;
        this.budget = budget;
    }

    /** Returns the lifecycle of a request that has just arrived. */
    public static RequestLifecycle of(CallKind callKind, Deadline deadline, RetryBudget budget) {
        return new RequestLifecycle(callKind, deadline, budget);
    }

    /** Returns the number of the latest attempt; 0 before the first permit. */
    public synchronized int attempt() {
        return attempt;
    }

    /** Returns the time on the {@link Ticker} at which {@link RequestEvent.DeadlinePassed} is to be reported. */
    public long deadlineNanos() {
        return deadline.atNanos();
    }

    /** Returns the outcome to report if the request ended without a response now. */
    public synchronized ExecutionOutcome outcomeIfEnded() {
        return mayHaveRun.isEmpty() ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.MAY_HAVE_RUN;
    }

    /** Handles an event and returns the decision. */
    public synchronized RequestDecision on(RequestEvent event) {
        if (finish != null) {
            return finish;
        }
        return switch (event) {
            case RequestEvent.Admitted e -> admit();
            case RequestEvent.Refused e -> fail(e.kind());
            case RequestEvent.PermitGranted e -> begin(e.endpoint());
            case RequestEvent.ConnectionRefused e -> endNotRun(e.attempt());
            case RequestEvent.FirstByteWritten e -> firstByte(e.attempt());
            case RequestEvent.ConfirmedNotStarted e -> endNotRun(e.attempt());
            case RequestEvent.ResponseStarted e -> progress(e.attempt(), e.textOffset());
            case RequestEvent.Finished e -> finished(e.attempt());
            case RequestEvent.ConnectionLost e -> endUnresolved(e.attempt());
            case RequestEvent.EndpointDown e -> endUnresolved(e.attempt());
            case RequestEvent.DeadlinePassed e -> fail(ErrorKind.DEADLINE_EXCEEDED);
            case RequestEvent.CallerDisconnected e -> end(outcomeIfEnded(), null);
            case RequestEvent.InstanceStopping e -> admitted ? new RequestDecision.Wait() : fail(ErrorKind.STOPPING);
        };
    }

    private RequestDecision admit() {
        if (!admitted) {
            admitted = true;
            budget.requestAdmitted();
        }
        return deadline.passed() ? fail(ErrorKind.DEADLINE_EXCEEDED) : new RequestDecision.Wait();
    }

    private RequestDecision begin(EndpointId endpoint) {
        if (running) {
            throw new IllegalStateException("attempt " + attempt + " has not ended; cannot start another");
        }
        attempt++;
        running = true;
        endpoints.put(attempt, endpoint);
        return deadline.passed() ? fail(ErrorKind.DEADLINE_EXCEEDED) : new RequestDecision.Wait();
    }

    private RequestDecision firstByte(int number) {
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        if (deadline.passed()) {
            return fail(ErrorKind.DEADLINE_EXCEEDED);
        }
        mayHaveRun.add(number);
        return new RequestDecision.Wait();
    }

    private RequestDecision progress(int number, long offset) {
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        textOffset = Math.max(textOffset, offset);
        return new RequestDecision.Wait();
    }

    private RequestDecision finished(int number) {
        return isCurrent(number) ? end(ExecutionOutcome.COMPLETED, null) : new RequestDecision.Ignore();
    }

    /** Ends an attempt that did not run. */
    private RequestDecision endNotRun(int number) {
        mayHaveRun.remove(number);
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        endAttempt(number);
        if (textOffset > 0) {
            return continueElsewhere();
        }
        return callKind == CallKind.UNKEYED ? fail(ErrorKind.ENDPOINT_FAILED) : retry();
    }

    /** Ends an attempt that may have run if a byte of it was sent. */
    private RequestDecision endUnresolved(int number) {
        if (!mayHaveRun.contains(number)) {
            return endNotRun(number);
        }
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        endAttempt(number);
        if (callKind != CallKind.IDEMPOTENT) {
            return fail(ErrorKind.ENDPOINT_FAILED);
        }
        return textOffset > 0 ? continueElsewhere() : retry();
    }

    private RequestDecision retry() {
        if (deadline.passed()) {
            return fail(ErrorKind.DEADLINE_EXCEEDED);
        }
        return budget.tryRetry() ? new RequestDecision.Retry(Set.copyOf(avoid)) : fail(ErrorKind.ENDPOINT_FAILED);
    }

    private RequestDecision continueElsewhere() {
        if (deadline.passed()) {
            return fail(ErrorKind.DEADLINE_EXCEEDED);
        }
        if (callKind != CallKind.IDEMPOTENT || continuations == MAX_CONTINUATIONS) {
            return fail(ErrorKind.ENDPOINT_FAILED);
        }
        continuations++;
        return new RequestDecision.Continue(textOffset, Set.copyOf(avoid));
    }

    private void endAttempt(int number) {
        running = false;
        avoid.add(endpoints.get(number));
    }

    private boolean isCurrent(int number) {
        return running && number == attempt;
    }

    private RequestDecision fail(ErrorKind kind) {
        return end(outcomeIfEnded(), kind);
    }

    private RequestDecision end(ExecutionOutcome outcome, ErrorKind kind) {
        running = false;
        finish = new RequestDecision.Finish(outcome, Optional.ofNullable(kind));
        return finish;
    }
}
