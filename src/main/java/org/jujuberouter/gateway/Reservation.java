package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.misc.Ticker;

/**
 * Memory reserved at several engines for one attempt.
 *
 * <p>All engines are asked at the same time and none of them waits for memory, so two prompts cannot deadlock with a
 * part of the memory each. Each hold is short and extended only on a recent sign that the request still runs: an event
 * of its response, before the first event is due a granted order at the engine that answers it, and otherwise the report
 * of that engine. So the memory expires by itself when this instance terminates, and also when the request has ended
 * without this instance learning of it, because an engine or a connection fell silent.
 */
final class Reservation {
    private static final long EXTEND_MS = 700;

    /** Age up to which a sign that the request runs permits an extension; see {@link EngineHold#HOLD_MS}. */
    private static final long MAX_SIGN_AGE_MS = 1_000;

    /** Age of the values that an engine reports; the platform states some hundred milliseconds. */
    private static final long REPORT_LAG_MS = 300;

    private final MemoryReservations reservations;
    private final Ticker ticker;
    private final ReservationListener listener;
    private final ReservationObserver observer;
    private final String id;
    private final List<EngineHold> holds;
    private int granted;
    private boolean ended;
    private boolean begun;
    private long firstEventDueAt;
    private long signAt;
    private ScheduledFuture<?> timer;

    private Reservation(
            MemoryReservations reservations,
            Ticker ticker,
            ReservationListener listener,
            ReservationObserver observer,
            String id,
            List<EngineHold> holds) {
        this.reservations = reservations;
        this.ticker = ticker;
        this.listener = listener;
        this.observer = observer;
        this.id = id;
        this.holds = holds;
    }

    /**
     * Asks all engines for memory.
     *
     * @param id must not have been used before, since orders under it may be carried out late
     * @param engines the engines; the first one answers the request
     */
    static Reservation request(
            MemoryReservations reservations,
            EventLoop loop,
            Ticker ticker,
            String id,
            List<Endpoint> engines,
            long tokensPerEngine,
            ReservationListener listener,
            ReservationObserver observer) {
        List<EngineHold> holds = engines.stream()
                .map(e -> new EngineHold(reservations, loop, ticker, observer, e, id, tokensPerEngine))
                .toList();
        Reservation reservation = new Reservation(reservations, ticker, listener, observer, id, holds);
        reservation.timer =
                loop.scheduleWithFixedDelay(reservation::extend, EXTEND_MS, EXTEND_MS, TimeUnit.MILLISECONDS);
        for (EngineHold h : holds) {
            h.reserve(outcome -> reservation.onOutcome(h, outcome));
        }
        return reservation;
    }

    String id() {
        return id;
    }

    private void onOutcome(EngineHold hold, MemoryReservations.Outcome outcome) {
        if (ended) {
            return;
        }
        if (outcome != MemoryReservations.Outcome.GRANTED) {
            release();
            listener.refused().accept(hold.engine());
            return;
        }
        granted++;
        if (granted == holds.size()) {
            listener.granted().run();
        }
    }

    /** Records that the request is sent, and the time after which its first event is due. */
    void requestSent(double firstEventMs) {
        begun = true;
        signAt = ticker.nanos();
        firstEventDueAt = signAt + (long) (firstEventMs * 1e6);
    }

    /** Records that a part of the response was received. */
    void responseReceived() {
        signAt = ticker.nanos();
        firstEventDueAt = signAt;
    }

    private void extend() {
        if (!begun) {
            return;
        }
        for (EngineHold h : holds) {
            if (!h.isHeld()) {
                timer.cancel(false);
                listener.lapsed().accept(h.engine());
                return;
            }
        }
        EngineHold responder = holds.getFirst();
        if (ticker.nanos() < firstEventDueAt) {
            signAt = Math.max(signAt, responder.grantedOrderAt());
        }
        if (isSignRecent()) {
            sendExtensions();
        } else {
            queryUse(responder.engine());
        }
    }

    private boolean isSignRecent() {
        return ticker.nanos() - signAt <= TimeUnit.MILLISECONDS.toNanos(MAX_SIGN_AGE_MS);
    }

    private void sendExtensions() {
        holds.forEach(h -> h.reserve(_ -> {}));
    }

    private void queryUse(Endpoint responder) {
        long sentAt = ticker.nanos();
        reservations.queryUse(responder, id, use -> {
            observer.useReported(responder, id, use);
            if (!ended && use == MemoryReservations.Use.IN_USE) {
                signAt = Math.max(signAt, sentAt - TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS));
                if (isSignRecent()) {
                    sendExtensions();
                }
            }
        });
    }

    /** Frees the memory at all engines, including those whose response is still outstanding. */
    void release() {
        if (!ended) {
            ended = true;
            timer.cancel(false);
            holds.forEach(EngineHold::release);
        }
    }
}
