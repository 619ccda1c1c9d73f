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
 * Decides after each event of one request whether it is retried, continued, finished or left to run.
 *
 * <p>The stated outcome rests on one set: the attempts of which a byte may have left and which no endpoint has proved not
 * started. A request is "not run" only while that set is empty, over all its attempts. A later attempt that is refused
 * cleanly does not make an earlier doubtful one undone.
 *
 * <p>Nothing delivered may be delivered again. Once text has arrived, an idempotent request is continued after that text
 * and never restarted. A non-idempotent call with a key is retried only while the set is empty; one without a key never.
 *
 * <p>Continuations take nothing from the retry budget: when an engine dies, its streams number more than the budget's burst
 * and must all go on. They are limited per request, and each needs a permit like any other work.
 *
 * <p>Thread-safe: the reader, the writer and the timer of a request may report at the same time. The decision to finish is
 * made once and is returned for every later event.
 */
public final class RequestLifecycle {
    /** A request whose fourth endpoint fails too is more likely to be the cause than the victim. */
    public static final int MAX_CONTINUATIONS = 3;

    private final CallKind callKind;
    private final Deadline deadline;
    private final RetryBudget budget;
    private final Map<Integer, EndpointId> endpoints = new HashMap<>();
    private final Set<EndpointId> avoid = new LinkedHashSet<>();
    private final Set<Integer> unresolved = new TreeSet<>();
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

    /** Returns the number of the newest attempt; 0 before the first permit. */
    public synchronized int attempt() {
        return attempt;
    }

    /** Returns the moment on the {@link Ticker} at which {@link RequestEvent.DeadlinePassed} is to be reported. */
    public long wakeAtNanos() {
        return deadline.atNanos();
    }

    /** Returns what a caller could be told if the request ended without an answer now. */
    public synchronized ExecutionOutcome outcomeIfEnded() {
        return unresolved.isEmpty() ? ExecutionOutcome.NOT_RUN : ExecutionOutcome.MAY_HAVE_RUN;
    }

    /** Takes one event and returns what to do. */
    public synchronized RequestDecision on(RequestEvent event) {
        if (finish != null) {
            return finish;
        }
        return switch (event) {
            case RequestEvent.Admitted e -> admit();
            case RequestEvent.Refused e -> fail(e.kind());
            case RequestEvent.PermitGranted e -> begin(e.endpoint());
            case RequestEvent.ConnectionRefused e -> cleanEnd(e.attempt());
            case RequestEvent.FirstByteWritten e -> write(e.attempt());
            case RequestEvent.ProvedNotStarted e -> cleanEnd(e.attempt());
            case RequestEvent.ResponseStarted e -> progress(e.attempt(), e.textOffset());
            case RequestEvent.Finished e -> finished(e.attempt());
            case RequestEvent.Broken e -> lost(e.attempt());
            case RequestEvent.EndpointDied e -> lost(e.attempt());
            case RequestEvent.DeadlinePassed e -> fail(ErrorKind.DEADLINE_EXCEEDED);
            case RequestEvent.CallerGone e -> end(outcomeIfEnded(), null);
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
            throw new IllegalStateException("attempt " + attempt + " has not ended; no other one may begin");
        }
        attempt++;
        running = true;
        endpoints.put(attempt, endpoint);
        return deadline.passed() ? fail(ErrorKind.DEADLINE_EXCEEDED) : new RequestDecision.Wait();
    }

    private RequestDecision write(int number) {
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        if (deadline.passed()) {
            return fail(ErrorKind.DEADLINE_EXCEEDED);
        }
        unresolved.add(number);
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

    /** Ends an attempt of which nothing ran. */
    private RequestDecision cleanEnd(int number) {
        unresolved.remove(number);
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        leave(number);
        if (textOffset > 0) {
            return continueElsewhere();
        }
        return callKind == CallKind.UNKEYED ? fail(ErrorKind.ENDPOINT_FAILED) : retry();
    }

    /** Ends an attempt whose fate is open if a byte of it left. */
    private RequestDecision lost(int number) {
        if (!unresolved.contains(number)) {
            return cleanEnd(number);
        }
        if (!isCurrent(number)) {
            return new RequestDecision.Ignore();
        }
        leave(number);
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

    private void leave(int number) {
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
