package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/**
 * Memory set aside at several engines for one attempt.
 *
 * <p>All engines are asked at once and none waits for memory, so two prompts never hold a half each and wait for the other.
 * Each hold is short and extended while the attempt runs: memory that an instance leaves behind, or that an order sets
 * aside after its release, lapses by itself.
 */
final class Reservation {
    /** Time of one hold; below the bound after which memory without use counts as lost (4 s in the deployments). */
    private static final long HOLD_MS = 3_200;

    private static final long EXTEND_MS = 1_000;

    private final MemoryReservations reservations;
    private final EventLoop loop;
    private final String id;
    private final List<Endpoint> engines;
    private final long tokensEach;
    private int granted;
    private boolean ended;
    private ScheduledFuture<?> timer;

    private Reservation(
            MemoryReservations reservations, EventLoop loop, String id, List<Endpoint> engines, long tokensEach) {
        this.reservations = reservations;
        this.loop = loop;
        this.id = id;
        this.engines = List.copyOf(engines);
        this.tokensEach = tokensEach;
    }

    /** Asks all engines; the listener gets null when all granted it, else an engine that did not. */
    static Reservation request(
            MemoryReservations reservations,
            EventLoop loop,
            String id,
            List<Endpoint> engines,
            long tokensEach,
            Consumer<Endpoint> listener) {
        Reservation reservation = new Reservation(reservations, loop, id, engines, tokensEach);
        for (Endpoint e : reservation.engines) {
            reservations.reserve(e, id, tokensEach, HOLD_MS, outcome -> reservation.onOutcome(e, outcome, listener));
        }
        return reservation;
    }

    String id() {
        return id;
    }

    private void onOutcome(Endpoint engine, MemoryReservations.Outcome outcome, Consumer<Endpoint> listener) {
        if (ended) {
            return;
        }
        if (outcome != MemoryReservations.Outcome.GRANTED) {
            release();
            listener.accept(engine);
            return;
        }
        granted++;
        if (granted == engines.size()) {
            timer = loop.scheduleAtFixedRate(this::extend, EXTEND_MS, EXTEND_MS, TimeUnit.MILLISECONDS);
            listener.accept(null);
        }
    }

    private void extend() {
        for (Endpoint e : engines) {
            reservations.reserve(e, id, tokensEach, HOLD_MS, _ -> {});
        }
    }

    /** Frees the memory at all engines, also where the answer to the order is still due. */
    void release() {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        engines.forEach(e -> reservations.release(e, id));
    }
}
