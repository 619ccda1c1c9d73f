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
 * part of the memory each. Each hold is short and extended while the attempt runs, so the memory expires by itself when
 * this instance terminates.
 */
final class Reservation {
    private static final long EXTEND_MS = 1_000;

    private final ReservationListener listener;
    private final String id;
    private final List<EngineHold> holds;
    private int granted;
    private boolean ended;
    private ScheduledFuture<?> timer;

    private Reservation(ReservationListener listener, String id, List<EngineHold> holds) {
        this.listener = listener;
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
        Reservation reservation = new Reservation(listener, id, holds);
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

    private void extend() {
        if (granted == holds.size()) {
            holds.forEach(h -> h.reserve(_ -> {}));
        }
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
