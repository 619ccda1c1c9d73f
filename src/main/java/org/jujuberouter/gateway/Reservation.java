package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/**
 * Memory reserved at several engines for one attempt.
 *
 * <p>All engines are asked at the same time and none of them waits for memory, so two prompts cannot deadlock with a
 * part of the memory each. Each hold is short and extended while the attempt runs: memory held for a terminated
 * instance, or reserved by a request that is processed after its release, expires by itself.
 */
final class Reservation {
    /** Duration of one hold; below the time after which unused memory counts as leaked (4 s in the deployments). */
    private static final long HOLD_MS = 3_200;

    private static final long EXTEND_MS = 1_000;

    private final MemoryReservations reservations;
    private final EventLoop loop;
    private final String id;
    private final List<Endpoint> engines;
    private final long tokensPerEngine;
    private int granted;
    private boolean ended;
    private ScheduledFuture<?> timer;

    private Reservation(
            MemoryReservations reservations, EventLoop loop, String id, List<Endpoint> engines, long tokensPerEngine) {
        this.reservations = reservations;
        this.loop = loop;
        this.id = id;
        this.engines = List.copyOf(engines);
        this.tokensPerEngine = tokensPerEngine;
    }

    /** Asks all engines; the listener receives null once all have granted it, or the first engine that did not. */
    static Reservation request(
            MemoryReservations reservations,
            EventLoop loop,
            String id,
            List<Endpoint> engines,
            long tokensPerEngine,
            Consumer<Endpoint> listener) {
        Reservation reservation = new Reservation(reservations, loop, id, engines, tokensPerEngine);
        for (Endpoint e : reservation.engines) {
            reservations.reserve(
                    e, id, tokensPerEngine, HOLD_MS, outcome -> reservation.onOutcome(e, outcome, listener));
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
            reservations.reserve(e, id, tokensPerEngine, HOLD_MS, _ -> {});
        }
    }

    /** Frees the memory at all engines, including those whose response is still outstanding. */
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
