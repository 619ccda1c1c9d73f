package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.CallRequirements;
import org.jujuberouter.dispatch.CustomerStanding;
import org.jujuberouter.dispatch.PlacementDecision;
import org.jujuberouter.dispatch.SuspectCall;
import org.jujuberouter.dispatch.TrackedEndpoint;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.http.CallFailure;
import org.jujuberouter.http.ClientCall;
import org.jujuberouter.http.ResponseListener;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestTrait;

/**
 * The life cycle of one call: admission, placement, sending, relaying of the response, completion.
 *
 * <p>A call is sent to another endpoint only if the previous one did not receive it, stated that it did not run it, or
 * if the call is retryable. Status 503 guarantees that the call did not run and will not run; a call that may have run
 * fails with 502 or 504 instead, also where its endpoint answers with a status that gives this guarantee.
 */
final class Exchange {
    /** Endpoints are a few milliseconds away; the rest of the shortest objective still suffices for a short prompt. */
    private static final int CONNECT_TIMEOUT_MS = 200;

    /** Callers send a retry to another instance, which can take the call at once. */
    private static final long RETRY_ELSEWHERE_MS = 0;

    /** Transit time of a response to the caller, subtracted from the caller's deadline. */
    private static final long RESPONSE_TRANSIT_MS = 5;

    private final Gateway gateway;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final CallTelemetry telemetry;
    private final ResponseRelay response;
    private final Set<EndpointId> triedEndpoints = new HashSet<>();
    private RequestHead call;
    private Route route;
    private Optional<Customer> customer = Optional.empty();
    private ServiceSpec service;
    private CallRequirements requirements;
    private CallTraits traits;
    private long deadlineNanos;
    private ScheduledFuture<?> deadlineTimer;
    private boolean finished;
    private boolean mayHaveRun;
    private int attemptsReceived;
    private int attemptsCharged;
    private int reservations;
    private Attempt attempt;

    Exchange(Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body) {
        this.gateway = gateway;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.telemetry = new CallTelemetry(gateway);
        this.response = ResponseRelay.to(caller, () -> callerWritable(false));
    }

    void start() {
        try {
            call = gateway.codec().read(head);
            telemetry.setCall(call);
        } catch (MalformedRequestException e) {
            gateway.rejected(400, e.getMessage());
            respondWithError(400, e.getMessage(), -1);
            return;
        }
        Optional<Catalog> catalog = gateway.catalog();
        if (catalog.isEmpty() || !gateway.storeFreshness().isCurrent()) {
            respondWithError(503, "the configuration is not known to be current", Admission.RETRY_AFTER_MS);
            return;
        }
        if (!admit(catalog.get())) {
            return;
        }
        long waitMs = Math.min(call.deadlineMs().orElse(Long.MAX_VALUE) - RESPONSE_TRANSIT_MS, route.timeoutMs());
        if (waitMs <= 0) {
            respondWithError(503, "the deadline has passed", -1);
            return;
        }
        deadlineNanos = telemetry.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        deadlineTimer = gateway.loop().schedule(this::onDeadline, waitMs, TimeUnit.MILLISECONDS);
        requirements = new CallRequirements(
                        call.id(),
                        service.name(),
                        call.promptTokens(),
                        call.outputTokens(),
                        route.objectiveMs(),
                        route.gapObjectiveMs(),
                        Math.min(waitMs, route.callerTimeoutMs()))
                .withRequestBytes(body.readableBytes())
                .claimedBy(customer, route, service);
        traits = CallTraits.of(call, service.name(), customer, head, body);
        if (!endIfQuarantined()) {
            gateway.retries(service.name()).recordRequest();
            gateway.enqueueAndPlace(this, requirements, telemetry.arrivedNanos());
        }
    }

    /**
     * Refuses a call with a trait that crashes endpoints, unless it is being answered; returns whether it has ended. What
     * an endpoint has of it is cancelled before it crashes the endpoint.
     */
    boolean endIfQuarantined() {
        if (finished || traits == null || attempt != null && attempt.eventBatches > 0) {
            return finished;
        }
        Optional<RequestTrait> quarantined = traits.findQuarantined(gateway.crashes());
        if (quarantined.isPresent()) {
            if (attempt != null && attempt.clientCall != null) {
                recordReceived();
            }
            endAttempt();
            refuseOrFail(
                    "requests of this kind crash endpoints: " + quarantined.get(),
                    gateway.crashes().remainingMs(quarantined.get()));
        }
        return finished;
    }

    /** Checks the call against the configuration; responds with an error and returns false if it is not allowed. */
    private boolean admit(Catalog catalog) {
        switch (gateway.overload().check(Admission.of(catalog, call), body.readableBytes())) {
            case Admission.Rejected r -> {
                respondWithError(r.status(), r.reason(), r.retryAfterMs());
                return false;
            }
            case Admission.Admitted a -> {
                route = a.route();
                customer = a.customer();
                service = a.service();
                customer.ifPresent(c -> telemetry.setCustomer(c.id().value()));
                telemetry.setService(service.name());
                return true;
            }
        }
    }

    /** Tries to place the call; returns false if it has to stay queued, to be retried when capacity changes. */
    boolean place() {
        if (finished || attempt != null || endIfQuarantined()) {
            return true;
        }
        if (!gateway.storeFreshness().isCurrent()) {
            refuseOrFail("the configuration is not known to be current", Admission.RETRY_AFTER_MS);
            return true;
        }
        if (!mayHaveRun && !gateway.canEndBeforeStop(requirements, service, remainingMs())) {
            refuseOrFail("the instance is stopping", RETRY_ELSEWHERE_MS);
            return true;
        }
        double waitedMs = (gateway.ticker().nanos() - telemetry.arrivedNanos()) / 1e6;
        CustomerStanding standing = gateway.standing(requirements);
        switch (gateway.place(requirements, service, triedEndpoints, waitedMs, standing)) {
            case PlacementDecision.Send send -> send(send);
            case PlacementDecision.Wait wait -> {
                telemetry.waiting(wait, standing == CustomerStanding.DEFERRED, triedEndpoints.size());
                return false;
            }
            case PlacementDecision.Refuse refuse -> refuseOrFail(refuse.reason(), refuse.retryAfterMs());
        }
        return true;
    }

    private void placeOrEnqueue() {
        if (!place()) {
            gateway.enqueue(this, requirements, telemetry.arrivedNanos());
        }
    }

    private void send(PlacementDecision.Send placement) {
        TrackedEndpoint endpoint = placement.endpoint();
        // Only the first attempt shows that capacity was scarce; later ones include the time at an endpoint.
        long waitedMs = triedEndpoints.isEmpty() ? telemetry.elapsedMs() : 0;
        // An attempt that its endpoint did not run is not charged, or prompts whose memory was refused would pay twice.
        boolean charge = attemptsCharged <= attemptsReceived;
        attemptsCharged += charge ? 1 : 0;
        gateway.allocate(
                placement.allocations(), charge ? requirements : requirements.charged(), remainingMs(), waitedMs);
        triedEndpoints.add(endpoint.registration().id());
        Attempt thisAttempt = new Attempt(endpoint);
        attempt = thisAttempt;
        if (placement.reservedTokensPerEngine() == 0) {
            sendRequest(thisAttempt, placement, "");
            return;
        }
        thisAttempt.reservation = Reservation.request(
                gateway.reservations(),
                gateway.loop(),
                gateway.ticker(),
                call.id().value() + "-" + ++reservations,
                placement.registrations(),
                placement.reservedTokensPerEngine(),
                new ReservationListener(
                        () -> sendReserved(thisAttempt, placement), this::onMemoryRefused, this::onMemoryLapsed),
                telemetry);
    }

    private void sendReserved(Attempt thisAttempt, PlacementDecision.Send placement) {
        if (placement.isUsable(gateway.ticker().nanos())) {
            sendRequest(thisAttempt, placement, thisAttempt.reservation.id());
        } else {
            enqueueAgain();
        }
    }

    /** Queues a call again that has not been sent to its endpoint. */
    private void enqueueAgain() {
        triedEndpoints.remove(attempt.endpoint.registration().id());
        endAttempt();
        gateway.enqueue(this, requirements, telemetry.arrivedNanos());
    }

    private void onMemoryRefused(Endpoint engine) {
        telemetry.logWarning("memory not reserved", Map.entry("endpoint", engine.id()));
        gateway.registry().markFull(engine.id());
        enqueueAgain();
    }

    /**
     * Retries a call whose reserved memory has expired, so that its engine has cut it off or ended it. A call that is not
     * retryable waits for the engine to close the connection.
     */
    private void onMemoryLapsed(Endpoint engine) {
        telemetry.memoryLapsed(engine, attempt.reservation.id());
        recordReceived();
        if (route.retryPolicy().isRetryable()) {
            retry("the reserved memory has lapsed");
        }
    }

    private void sendRequest(Attempt thisAttempt, PlacementDecision.Send placement, String reservation) {
        Endpoint endpoint = thisAttempt.endpoint.registration();
        telemetry.sent(placement, !reservation.isEmpty(), triedEndpoints.size());
        List<CallCodec.Helper> helpers = CallCodec.Helper.of(placement, reservation);
        CallCodec.Attempt outgoing = new CallCodec.Attempt(
                endpoint, customer.map(Customer::id), remainingMs(), response.lastEventId(), helpers);
        thisAttempt.predictedFirstEventMs = placement.predictedFirstEventMs()
                - placement.endpoint().expectedDelayMs(gateway.ticker().nanos());
        thisAttempt.sentNanos = gateway.ticker().nanos();
        if (thisAttempt.reservation != null) {
            thisAttempt.reservation.requestSent(placement.predictedFirstEventMs());
        }
        thisAttempt.clientCall = gateway.overload()
                .send(endpoint.address(), CONNECT_TIMEOUT_MS, gateway.codec().write(head, body, outgoing), thisAttempt);
        if (thisAttempt == attempt) {
            thisAttempt.silence = SilenceCheck.start(
                    gateway.loop(),
                    SilenceCheck.Limits.of(
                            requirements.callerTimeoutMs(),
                            placement.predictedFirstEventMs(),
                            service.engine().isPresent()),
                    thisAttempt::silentForMs,
                    listener -> gateway.probe().probe(endpoint, listener),
                    () -> onSilence(thisAttempt.silentForMs()));
        }
    }

    /**
     * Retries a retryable call at another endpoint. A connection can fail without a reset, and waiting longer would
     * exceed the caller's timeout. A call that is not retryable continues until its deadline. Returns whether to check
     * the endpoint for silence again.
     */
    private boolean onSilence(long silenceMs) {
        telemetry.endpointSilent(attempt.endpoint.registration(), silenceMs);
        gateway.endpointSilent(attempt.endpoint);
        if (!route.retryPolicy().isRetryable()) {
            return false;
        }
        recordReceived();
        return !retry("silent endpoint");
    }

    /** Records that the endpoint may have run the call; each attempt counts once towards the maximum of the route. */
    private void recordReceived() {
        mayHaveRun = true;
        if (!attempt.received) {
            attempt.received = true;
            attemptsReceived++;
        }
    }

    private final class Attempt implements ResponseListener {
        private final TrackedEndpoint endpoint;
        private ClientCall clientCall;
        private Reservation reservation;
        private SilenceCheck silence;
        private double predictedFirstEventMs;
        private long sentNanos;
        private long readChangedNanos;
        private long bodyChangedNanos;
        private boolean readPaused;
        private boolean received;
        private int eventBatches;

        /** Returns for how long the endpoint has sent nothing; 0 while it may not send because of a slow caller. */
        private long silentForMs() {
            return readPaused
                    ? 0
                    : telemetry.msSinceLastEvent(Math.max(sentNanos, Math.max(readChangedNanos, bodyChangedNanos)));
        }

        private long sentAgoMs() {
            return TimeUnit.NANOSECONDS.toMillis(gateway.ticker().nanos() - sentNanos);
        }

        /** Returns by how much the first event is later than predicted; negative if it is earlier. */
        private long delayMs(long now) {
            return (long) ((now - sentNanos) / 1e6 - predictedFirstEventMs);
        }

        private Attempt(TrackedEndpoint endpoint) {
            this.endpoint = endpoint;
        }

        @Override
        public boolean onHead(HttpResponse head) {
            return this == attempt && onResponseHead(head);
        }

        @Override
        public void onBody(ByteBuf piece) {
            if (this == attempt) {
                if (reservation != null) {
                    reservation.responseReceived();
                }
                relayBody(piece);
            }
        }

        @Override
        public void onEnd() {
            if (this == attempt) {
                completeResponse();
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            if (this == attempt) {
                onAttemptFailed(failure);
            }
        }
    }

    /** Decides whether a response is streamed, buffered or replaced by another attempt; returns whether to read it. */
    private boolean onResponseHead(HttpResponse received) {
        attempt.endpoint.domain().recordReached();
        CallCodec.Answer answer = gateway.codec().read(received);
        if (!answer.id().isEmpty() && !answer.id().equals(call.id().value())) {
            telemetry.logWarning("skipped an answer to another call", Map.entry("other", answer.id()));
            return false;
        }
        answer.recordAt(attempt.endpoint, gateway.ticker().nanos());
        if (answer.notRun()) {
            notRun(answer);
            return false;
        }
        recordReceived();
        boolean success = answer.status() / 100 == 2;
        if (success && !answer.signed()) {
            retryOrFail("an answer without the endpoint's signature");
            return false;
        }
        if (!route.retryPolicy().isStream()) {
            telemetry.executionBegan();
        }
        if (answer.promisesNotRun()) {
            // Passed on, it would promise the caller what only the statement of the endpoint proves.
            retryOrFail("status " + answer.status() + " without the statement that the call was not run");
            return false;
        }
        if (answer.status() >= 500) {
            gateway.endpointFailed(attempt.endpoint);
            if (route.retryPolicy().isRetryable() && !response.hasStarted() && retry("status " + answer.status())) {
                return false;
            }
        }
        if (response.hasStarted()) {
            if (!success) {
                retryOrFail("status " + answer.status() + " where the stream was to go on");
            }
            return success;
        }
        response.begin(received, success && route.retryPolicy().isStream(), call.resumeAfter());
        return true;
    }

    private void notRun(CallCodec.Answer answer) {
        if (answer.misdirected()) {
            gateway.endpointFailed(attempt.endpoint);
        } else {
            attempt.endpoint.markFull(gateway.ticker().nanos());
        }
        telemetry.notRun(attempt.endpoint.registration(), answer.status());
        boolean mayRetry = triedEndpoints.size() < route.maxAttempts() + 1 && gateway.tryRetry(service.name());
        endAttempt();
        if (!mayRetry) {
            refuseOrFail("the endpoint had no room", Admission.RETRY_AFTER_MS);
        } else {
            placeOrEnqueue();
        }
    }

    private void relayBody(ByteBuf piece) {
        if (!response.canContinue()) {
            // In a plain body, each byte is progress; in a stream, only a complete event is.
            attempt.bodyChangedNanos = gateway.ticker().nanos();
        }
        try {
            if (response.relay(piece)) {
                attempt.eventBatches++;
                attempt.endpoint.domain().recordReached();
                if (attempt.eventBatches == 1) {
                    traits.answered(gateway.crashes());
                }
                if (telemetry.recordEvents()) {
                    gateway.firstEventReceived(
                            call.id(),
                            attempt.endpoint,
                            attempt.delayMs(gateway.ticker().nanos()));
                }
            }
        } catch (MalformedResponseException e) {
            retryOrFail(e.getMessage());
        }
    }

    private void completeResponse() {
        if (response.isBrokenOff()) {
            onAttemptFailed(
                    new CallFailure(CallFailure.Kind.CLOSED, true, "the stream ended before the end of an event"));
            return;
        }
        attempt.endpoint.recordSuccess();
        traits.answered(gateway.crashes());
        telemetry.answered(attempt.endpoint.registration(), response.status(), route);
        endAttempt();
        finish();
        response.complete();
    }

    private void onAttemptFailed(CallFailure failure) {
        telemetry.attemptFailed(attempt.endpoint.registration(), failure, attempt.received, attempt.eventBatches);
        gateway.attemptFailed(attempt.endpoint, failure);
        if (failure.sent()) {
            if (failure.kind() != CallFailure.Kind.MALFORMED && attempt.eventBatches == 0) {
                SuspectCall suspect = SuspectCall.of(traits.suspects(attempt.received), attempt.sentAgoMs());
                gateway.crashes().attemptCut(attempt.endpoint.registration(), suspect);
            }
            recordReceived();
        }
        retryOrFail(failure.kind() + ": " + failure.detail());
    }

    /** Ends an attempt that failed at the endpoint and retries the call at another one if that is safe. */
    private void retryOrFail(String reason) {
        gateway.endpointFailed(attempt.endpoint);
        boolean allowed = !mayHaveRun || route.retryPolicy().isRetryable();
        if (allowed && retry(reason)) {
            return;
        }
        endAttempt();
        refuseOrFail(reason, Admission.RETRY_AFTER_MS);
    }

    private boolean retry(String reason) {
        if (!response.canContinue()) {
            return false;
        }
        boolean allowed = !mayHaveRun || attemptsReceived < route.maxAttempts() && gateway.tryRetry(service.name());
        if (!allowed || triedEndpoints.size() > route.maxAttempts() + 2) {
            return false;
        }
        telemetry.logWarning("tries another endpoint", Map.entry("reason", reason));
        endAttempt();
        response.discardIncomplete();
        placeOrEnqueue();
        return true;
    }

    /** Pauses or resumes reading from the endpoint according to the writability of the caller's channel. */
    void callerWritable(boolean writable) {
        if (attempt != null && attempt.clientCall != null) {
            attempt.readPaused = !writable;
            attempt.readChangedNanos = gateway.ticker().nanos();
            attempt.clientCall.setReading(writable);
        }
    }

    /** Cancels the call after its caller closed the connection. */
    void callerDisconnected() {
        if (!finished) {
            telemetry.callerDisconnected(mayHaveRun || attempt != null, response.hasStarted());
            endAttempt();
            finish();
        }
    }

    private void onDeadline() {
        if (!finished) {
            end("deadline reached", "the deadline passed", "the deadline passed before an endpoint had room", -1);
        }
    }

    /** Ends the call because its instance ends. */
    void onStopTimeout() {
        end("ended by the stop", "the instance stopped", "the instance is stopping", RETRY_ELSEWHERE_MS);
    }

    /** Ends the call as failed, or as not run if it was never sent. */
    private void end(String event, String failureReason, String refusalReason, long retryAfterMs) {
        telemetry.logWarning(event, Map.entry("begun", response.hasStarted()), Map.entry("arrivals", attemptsReceived));
        boolean sent = attempt != null;
        endAttempt();
        if (sent || mayHaveRun) {
            failCall(504, failureReason, -1);
        } else {
            failCall(503, refusalReason, retryAfterMs);
        }
    }

    private void refuseOrFail(String reason, long retryAfterMs) {
        failCall(mayHaveRun ? 502 : 503, reason, mayHaveRun ? -1 : retryAfterMs);
    }

    /** Fails the call: with an error response, or by closing the connection if the response has started. */
    private void failCall(int status, String reason, long retryAfterMs) {
        if (response.hasStarted()) {
            telemetry.responseAborted(status, reason);
            finish();
            caller.abort();
        } else {
            respondWithError(status, reason, retryAfterMs);
        }
    }

    /** Returns the time until the deadline, at least 1 ms. */
    private long remainingMs() {
        return Math.max(
                1,
                TimeUnit.NANOSECONDS.toMillis(deadlineNanos - gateway.ticker().nanos()));
    }

    private void respondWithError(int status, String reason, long retryAfterMs) {
        telemetry.refused(
                status, reason, mayHaveRun || status == 504 ? ExecutionOutcome.MAY_HAVE_RUN : ExecutionOutcome.NOT_RUN);
        finish();
        caller.writeResponse(
                gateway.refusal(status, reason, Optional.ofNullable(call).map(RequestHead::id), retryAfterMs));
    }

    private void endAttempt() {
        if (attempt != null) {
            Attempt ended = attempt;
            attempt = null;
            if (ended.clientCall != null) {
                ended.clientCall.cancel();
            }
            if (ended.silence != null) {
                ended.silence.cancel();
            }
            if (ended.reservation != null) {
                ended.reservation.release();
            }
            gateway.release(call.id());
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            body.release();
            if (deadlineTimer != null) {
                deadlineTimer.cancel(false);
            }
            gateway.finished(this);
        }
    }
}
