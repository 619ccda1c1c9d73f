package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Call;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.Demand;
import org.jujuberouter.dispatch.EndpointState;
import org.jujuberouter.dispatch.Placement;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.http.CallFailure;
import org.jujuberouter.http.CallListener;
import org.jujuberouter.http.ClientCall;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.ServiceName;

/**
 * The way of one call: check, place, send, relay, finish.
 *
 * <p>A call goes to another endpoint only if the former one did not get it, said that it did not run it, or the call may be
 * repeated. A refusal with 503 says that the call did not run and will not run; once it may have run, it ends with 502 or
 * 504 instead.
 */
final class Exchange {
    /** Largest answer that is kept back until it is whole, in bytes; a longer one is passed on as it arrives. */
    private static final int MAX_HELD_BYTES = 256 << 10;

    /** Endpoints are a few milliseconds away; what is left of the shortest objective still serves a short prompt. */
    private static final int CONNECT_TIMEOUT_MS = 200;

    /**
     * Part of the caller's patience after which an endpoint that is silent is given up for another one; engines that are
     * overloaded still answer most calls before.
     */
    private static final double LONGEST_SILENCE = 0.7;

    /** Time beyond twice the plan before an endpoint counts as silent, in milliseconds. */
    private static final long SILENCE_MARGIN_MS = 300;

    private static final long RETRY_AFTER_MS = 500;

    /** Time that the way to the caller takes, by which an answer is ready before the deadline. */
    private static final long RETURN_MS = 5;

    private final Gateway gateway;
    private final CallerConnection caller;
    private final HttpRequest head;
    private final ByteBuf body;
    private final CallRecord record;
    private final Set<EndpointId> tried = new HashSet<>();
    private Call call;
    private Route route;
    private Optional<Customer> customer = Optional.empty();
    private ServiceSpec service;
    private Demand demand;
    private long deadline;
    private ScheduledFuture<?> deadlineTimer;
    private boolean over;
    private boolean mayHaveRun;
    private int arrivals;
    private Attempt attempt;
    private boolean begun;
    private EventSplitter events;
    private ByteBuf held;
    private HttpResponse heldHead;

    Exchange(Gateway gateway, CallerConnection caller, HttpRequest head, ByteBuf body) {
        this.gateway = gateway;
        this.caller = caller;
        this.head = head;
        this.body = body;
        this.record = new CallRecord(gateway);
    }

    void start() {
        try {
            call = gateway.form().read(head);
            record.read(call);
        } catch (BadCallException e) {
            gateway.rejected(400, e.getMessage());
            end(400, e.getMessage(), -1);
            return;
        }
        Optional<Catalog> catalog = gateway.catalog();
        if (catalog.isEmpty() || !gateway.contact().isCurrent()) {
            end(503, "the configuration is not known to be current", RETRY_AFTER_MS);
            return;
        }
        if (!admit(catalog.get())) {
            return;
        }
        long waitMs = Math.min(call.deadlineMs().orElse(Long.MAX_VALUE) - RETURN_MS, route.timeoutMs());
        if (waitMs <= 0) {
            end(503, "the deadline has passed", -1);
            return;
        }
        deadline = record.arrived() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        deadlineTimer = gateway.loop().schedule(this::expire, waitMs, TimeUnit.MILLISECONDS);
        demand = new Demand(
                call.id(),
                service.name(),
                call.promptTokens(),
                call.outputTokens(),
                route.objectiveMs(),
                route.gapMs(),
                Math.min(waitMs, route.patienceMs()));
        gateway.retries(service.name()).request();
        gateway.placeInTurn(this, demand, record.arrived());
    }

    /** Checks the call against the configuration. */
    private boolean admit(Catalog catalog) {
        Optional<Route> found = catalog.route(call.host(), call.path());
        if (found.isEmpty()) {
            end(404, "no route for the host and path", -1);
            return false;
        }
        route = found.get();
        if (catalog.requiresKeys() && !route.open()) {
            customer = catalog.customer(call.apiKey());
            if (customer.isEmpty()) {
                end(401, "the API key is unknown", -1);
                return false;
            }
            record.customer(customer.get().id().value());
        }
        ServiceName name = route.serviceFor(call.id().hashCode());
        Optional<ServiceSpec> spec = catalog.service(name);
        if (spec.isEmpty()) {
            end(503, "the service " + name + " is not declared", RETRY_AFTER_MS);
            return false;
        }
        service = spec.get();
        record.service(name);
        return true;
    }

    /** Looks for a place; returns false if the call has to wait, and is called again then when something has changed. */
    boolean place() {
        if (over || attempt != null) {
            return true;
        }
        if (!gateway.contact().isCurrent()) {
            refuseUnplaced("the configuration is not known to be current", RETRY_AFTER_MS);
            return true;
        }
        double waitedMs = (gateway.ticker().nanos() - record.arrived()) / 1e6;
        switch (gateway.placer().place(demand, service, tried, waitedMs)) {
            case Placement.Send send -> send(send);
            case Placement.Wait wait -> {
                record.waits(wait.reason(), tried.size());
                return false;
            }
            case Placement.Refuse refuse -> refuseUnplaced(refuse.reason(), refuse.retryAfterMs());
        }
        return true;
    }

    private void placeOrWait() {
        if (!place()) {
            gateway.waitForPlace(this, demand, record.arrived());
        }
    }

    private void send(Placement.Send place) {
        EndpointState at = place.endpoint();
        gateway.start(place.works(), leftMs());
        tried.add(at.endpoint().id());
        Attempt made = new Attempt(at);
        attempt = made;
        if (place.tokensEach() == 0) {
            open(made, place, "");
            return;
        }
        List<Endpoint> engines = new ArrayList<>();
        engines.add(at.endpoint());
        place.helpers().forEach(h -> engines.add(h.endpoint()));
        String id = call.id().value() + "-" + tried.size();
        made.reservation =
                Reservation.ask(gateway.orders(), gateway.loop(), id, engines, place.tokensEach(), refusing -> {
                    if (made == attempt) {
                        reserved(made, place, refusing);
                    }
                });
    }

    private void reserved(Attempt made, Placement.Send place, Endpoint refusing) {
        if (refusing == null) {
            open(made, place, made.reservation.id());
            return;
        }
        record.turned("memory not reserved", Map.entry("endpoint", refusing.id()));
        gateway.fleet()
                .find(refusing.id())
                .ifPresent(e -> e.full(gateway.ticker().nanos()));
        tried.remove(made.at.endpoint().id());
        endAttempt();
        gateway.waitForPlace(this, demand, record.arrived());
    }

    private void open(Attempt made, Placement.Send place, String reservation) {
        Endpoint at = made.at.endpoint();
        List<CallForm.Helper> readers = new ArrayList<>();
        if (!reservation.isEmpty()) {
            readers.add(new CallForm.Helper(at, reservation));
        }
        place.helpers().forEach(h -> readers.add(new CallForm.Helper(h.endpoint(), reservation)));
        record.sent(place, !reservation.isEmpty(), tried.size());
        String after = events == null ? "" : events.lastId();
        CallForm.Attempt form = new CallForm.Attempt(at, customer.map(Customer::id), leftMs(), after, readers);
        made.plannedFirstMs =
                place.firstMs() - place.endpoint().delayMs(gateway.ticker().nanos());
        made.sentAt = gateway.ticker().nanos();
        made.call = ClientCall.send(
                gateway.loop(), at.address(), CONNECT_TIMEOUT_MS, gateway.form().write(head, body, form), made);
        long silenceMs = Math.max(
                (long) (demand.patienceMs() * LONGEST_SILENCE), Math.round(2 * place.firstMs()) + SILENCE_MARGIN_MS);
        if (made == attempt) {
            watchSilence(made, silenceMs, silenceMs);
        }
    }

    /** Looks after a time whether the endpoint has been silent for the given time. */
    private void watchSilence(Attempt made, long silenceMs, long afterMs) {
        made.silenceTimer = gateway.loop()
                .schedule(
                        () -> {
                            long leftMs = silenceMs - record.quietMs(made.heardAt());
                            if (leftMs > 0 || made.heldBack) {
                                watchSilence(made, silenceMs, Math.max(leftMs, SILENCE_MARGIN_MS));
                            } else {
                                silent(silenceMs);
                            }
                        },
                        afterMs,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Goes on elsewhere, if the call may be repeated. A connection may have gone silent for good without a reset, and the
     * caller would leave without an answer. Where the call may not be repeated, it is left as it is.
     */
    private void silent(long silenceMs) {
        record.silent(attempt.at.endpoint(), silenceMs);
        gateway.endpointFailed(attempt.at);
        if (route.repeat().isRepeatable()) {
            arrivals++;
            mayHaveRun = true;
            tryAgain("silent endpoint");
        }
    }

    private final class Attempt implements CallListener {
        private final EndpointState at;
        private ClientCall call;
        private Reservation reservation;
        private ScheduledFuture<?> silenceTimer;
        private double plannedFirstMs;
        private long sentAt;
        private long readsSince;
        private boolean heldBack;

        /** Returns the last moment from which on silence is the endpoint's own. */
        private long heardAt() {
            return Math.max(sentAt, readsSince);
        }

        /** Returns how much later than planned an event comes that is the first. */
        private long delayMs(long now) {
            return Math.max(0, (long) ((now - sentAt) / 1e6 - plannedFirstMs));
        }

        private Attempt(EndpointState at) {
            this.at = at;
        }

        @Override
        public boolean onHead(HttpResponse response) {
            return this == attempt && receive(response);
        }

        @Override
        public void onBody(ByteBuf piece) {
            if (this == attempt) {
                relay(piece);
            }
        }

        @Override
        public void onEnd() {
            if (this == attempt) {
                complete();
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            if (this == attempt) {
                failed(failure);
            }
        }
    }

    /** Takes the head of an answer and decides whether it is passed on, held back or replaced by another attempt. */
    private boolean receive(HttpResponse response) {
        CallForm.Answer answer = gateway.form().read(response);
        if (!answer.id().isEmpty() && !answer.id().equals(call.id().value())) {
            record.turned("skipped an answer to another call", Map.entry("other", answer.id()));
            return false;
        }
        answer.coldMs().ifPresent(ms -> attempt.at.coldFor(ms, gateway.ticker().nanos()));
        if (answer.notRun()) {
            notRun(answer);
            return false;
        }
        arrivals++;
        mayHaveRun = true;
        boolean success = answer.status() / 100 == 2;
        if (success && !answer.vouched()) {
            failAttempt("an answer without the endpoint's signature");
            return false;
        }
        if (answer.status() >= 500) {
            gateway.endpointFailed(attempt.at);
            if (route.repeat().isRepeatable() && !begun && tryAgain("status " + answer.status())) {
                return false;
            }
        }
        if (begun) {
            if (!success) {
                failAttempt("status " + answer.status() + " where the stream was to go on");
            }
            return success;
        }
        heldHead = copyHead(response);
        if (success && route.repeat().isStream()) {
            events = EventSplitter.after(call.resumeAfter());
            begin();
        } else {
            held = Unpooled.buffer(1024);
        }
        return true;
    }

    private void notRun(CallForm.Answer answer) {
        if (answer.misdirected()) {
            gateway.endpointFailed(attempt.at);
        } else {
            attempt.at.full(gateway.ticker().nanos());
        }
        record.notRun(attempt.at.endpoint(), answer.status());
        boolean again = tried.size() < route.maxAttempts() + 1 && gateway.tryRetry(service.name());
        endAttempt();
        if (!again) {
            refuseUnplaced("the endpoint had no room", RETRY_AFTER_MS);
        } else {
            placeOrWait();
        }
    }

    private void relay(ByteBuf piece) {
        if (begun && events != null) {
            ByteBuf whole = events.feed(piece);
            if (whole.isReadable()) {
                if (record.eventsCame()) {
                    gateway.readDone(
                            call.id(),
                            attempt.at,
                            attempt.delayMs(gateway.ticker().nanos()));
                }
                if (!caller.piece(whole)) {
                    callerReads(false);
                }
            }
        } else if (begun) {
            if (!caller.piece(piece.copy())) {
                callerReads(false);
            }
        } else {
            held.writeBytes(piece);
            if (held.readableBytes() > MAX_HELD_BYTES) {
                begin();
                caller.piece(held);
                held = null;
            }
        }
    }

    private void begin() {
        begun = true;
        HttpUtil.setTransferEncodingChunked(heldHead, true);
        caller.beginAnswer(heldHead);
    }

    private void complete() {
        attempt.at.succeeded();
        record.answered(attempt.at.endpoint(), heldHead.status().code(), route);
        endAttempt();
        finish();
        if (!begun) {
            DefaultFullHttpResponse whole = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, heldHead.status(), held);
            whole.headers().set(heldHead.headers());
            HttpUtil.setContentLength(whole, held.readableBytes());
            caller.answer(whole);
            return;
        }
        if (events != null) {
            ByteBuf left = events.drain();
            if (left.isReadable()) {
                caller.piece(left);
            }
        }
        caller.endAnswer();
    }

    private void failed(CallFailure failure) {
        record.attemptFailed(attempt.at.endpoint(), failure);
        if (failure.sent()) {
            arrivals++;
            mayHaveRun = true;
        }
        failAttempt(failure.kind() + ": " + failure.detail());
    }

    /** Ends an attempt that the endpoint failed, and goes on elsewhere where that is allowed. */
    private void failAttempt(String reason) {
        gateway.endpointFailed(attempt.at);
        boolean allowed = !mayHaveRun || route.repeat().isRepeatable();
        if (allowed && tryAgain(reason)) {
            return;
        }
        endAttempt();
        refuseUnplaced(reason, RETRY_AFTER_MS);
    }

    private boolean tryAgain(String reason) {
        boolean free = !mayHaveRun || arrivals < route.maxAttempts() && gateway.tryRetry(service.name());
        if (!free || tried.size() > route.maxAttempts() + 2) {
            return false;
        }
        record.turned("tries another endpoint", Map.entry("reason", reason));
        endAttempt();
        if (events != null) {
            events.dropPart();
        }
        held = null;
        placeOrWait();
        return true;
    }

    /** The caller's connection has room again, or has none. */
    void callerReads(boolean reads) {
        if (attempt != null && attempt.call != null) {
            attempt.heldBack = !reads;
            attempt.readsSince = gateway.ticker().nanos();
            attempt.call.setReading(reads);
        }
    }

    /** The caller closed its connection. */
    void callerLeft() {
        if (!over) {
            record.callerLeft(mayHaveRun || attempt != null, begun);
            endAttempt();
            finish();
        }
    }

    private void expire() {
        if (over) {
            return;
        }
        record.turned("deadline reached", Map.entry("begun", begun), Map.entry("arrivals", arrivals));
        boolean sent = attempt != null;
        endAttempt();
        if (sent || mayHaveRun) {
            giveUp(504, "the deadline passed", -1);
        } else {
            giveUp(503, "the deadline passed before an endpoint had room", -1);
        }
    }

    private void refuseUnplaced(String reason, long retryAfterMs) {
        if (mayHaveRun) {
            giveUp(502, reason, -1);
        } else {
            giveUp(503, reason, retryAfterMs);
        }
    }

    /** Ends a call that no endpoint answers: with the status, or by breaking an answer off that has begun. */
    private void giveUp(int status, String reason, long retryAfterMs) {
        if (begun) {
            record.brokenOff(status, reason);
            finish();
            caller.abort();
        } else {
            end(status, reason, retryAfterMs);
        }
    }

    /** Returns the time until the deadline, at least a millisecond. */
    private long leftMs() {
        return Math.max(
                1, TimeUnit.NANOSECONDS.toMillis(deadline - gateway.ticker().nanos()));
    }

    private void end(int status, String reason, long retryAfterMs) {
        record.refused(
                status, reason, mayHaveRun || status == 504 ? ExecutionOutcome.MAY_HAVE_RUN : ExecutionOutcome.NOT_RUN);
        finish();
        caller.answer(gateway.refusal(status, reason, Optional.ofNullable(call).map(Call::id), retryAfterMs));
    }

    private void endAttempt() {
        if (attempt != null) {
            Attempt ended = attempt;
            attempt = null;
            if (ended.call != null) {
                ended.call.cancel();
            }
            if (ended.silenceTimer != null) {
                ended.silenceTimer.cancel(false);
            }
            if (ended.reservation != null) {
                ended.reservation.release();
            }
            gateway.end(call.id());
        }
    }

    private void finish() {
        if (!over) {
            over = true;
            body.release();
            if (deadlineTimer != null) {
                deadlineTimer.cancel(false);
            }
            gateway.finished(this);
        }
    }

    /** Returns the head without what concerns the endpoint's connection only. */
    private static HttpResponse copyHead(HttpResponse response) {
        HttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        copy.headers().set(response.headers());
        copy.headers().remove(HttpHeaderNames.CONNECTION);
        copy.headers().remove("Keep-Alive");
        copy.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        copy.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        return copy;
    }
}
