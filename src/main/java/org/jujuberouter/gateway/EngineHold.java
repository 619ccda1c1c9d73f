package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.misc.Ticker;

/**
 * The memory that one reservation holds at one engine.
 *
 * <p>At most one reserve order is outstanding. The release is repeated until the engine has confirmed it and no reserve
 * order can be carried out any more: neither one that is outstanding nor one that the engine left unanswered.
 */
final class EngineHold {
    /**
     * Duration of one hold. Together with the age of the sign of life on which an extension is based, it stays below the
     * time after which unused memory counts as leaked (4 s in the deployments).
     */
    static final long HOLD_MS = 2_800;

    /** Longest time after which engines carry out an order that they left unanswered, as the platform states. */
    static final long LATE_ORDER_MS = 12_000;

    /** Interval at which an unconfirmed release is repeated; bounds the time that a late reserve order holds memory. */
    private static final long RELEASE_INTERVAL_MS = 1_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final MemoryReservations reservations;
    private final EventLoop loop;
    private final Ticker ticker;
    private final ReservationObserver observer;
    private final Endpoint engine;
    private final String id;
    private final long tokens;
    private boolean orderOutstanding;
    private boolean mayBeHeld;
    private long grantedOrderAt = NEVER;
    private long unansweredOrderAt = NEVER;
    private long releasedAt = NEVER;
    private ScheduledFuture<?> repetition;

    EngineHold(
            MemoryReservations reservations,
            EventLoop loop,
            Ticker ticker,
            ReservationObserver observer,
            Endpoint engine,
            String id,
            long tokens) {
        this.reservations = reservations;
        this.loop = loop;
        this.ticker = ticker;
        this.observer = observer;
        this.engine = engine;
        this.id = id;
        this.tokens = tokens;
    }

    Endpoint engine() {
        return engine;
    }

    /** Reserves the memory or extends the hold, unless an order is outstanding; the outcome is not reported after release. */
    void reserve(Consumer<MemoryReservations.Outcome> onOutcome) {
        if (orderOutstanding || isReleased()) {
            return;
        }
        orderOutstanding = true;
        mayBeHeld = true;
        long sentAt = ticker.nanos();
        reservations.reserve(engine, id, tokens, HOLD_MS, outcome -> {
            orderOutstanding = false;
            recordOutcome(outcome, sentAt);
            if (!isReleased()) {
                onOutcome.accept(outcome);
            } else if (repetition != null && repetition.cancel(false)) {
                sendRelease();
            }
        });
    }

    private void recordOutcome(MemoryReservations.Outcome outcome, long sentAt) {
        if (outcome == MemoryReservations.Outcome.GRANTED) {
            grantedOrderAt = sentAt;
        } else if (outcome == MemoryReservations.Outcome.UNKNOWN) {
            unansweredOrderAt = sentAt;
            observer.orderUnanswered(engine, id, "reserve");
        }
        // A refused extension leaves the hold that was granted before.
        mayBeHeld = grantedOrderAt != NEVER || unansweredOrderAt != NEVER;
    }

    /** Returns when the last order that the engine granted was sent, or a time long ago. */
    long grantedOrderAt() {
        return grantedOrderAt;
    }

    /** Returns whether the engine has granted an order whose hold has not expired. */
    boolean isHeld() {
        return grantedOrderAt != NEVER && ticker.nanos() - grantedOrderAt < TimeUnit.MILLISECONDS.toNanos(HOLD_MS);
    }

    private boolean isReleased() {
        return releasedAt != NEVER;
    }

    /** Frees the memory, now and whenever an order that was sent before may still reserve it. */
    void release() {
        if (!isReleased()) {
            releasedAt = ticker.nanos();
            if (mayBeHeld) {
                observer.releasing(engine);
                sendRelease();
            }
        }
    }

    private void sendRelease() {
        repetition = null;
        boolean crossesOrder = orderOutstanding;
        reservations.release(engine, id, confirmed -> {
            if (!confirmed) {
                observer.orderUnanswered(engine, id, "release");
            }
            if (confirmed && !crossesOrder && !mayBeReservedLater()) {
                observer.freed(engine, id, elapsedMs(releasedAt));
            } else if (elapsedMs(releasedAt) > LATE_ORDER_MS + HOLD_MS) {
                observer.releaseUnconfirmed(engine, id, elapsedMs(releasedAt));
            } else if (confirmed && crossesOrder && !orderOutstanding) {
                sendRelease();
            } else {
                repetition = loop.schedule(this::sendRelease, RELEASE_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Returns whether an order without an answer may still be carried out. */
    private boolean mayBeReservedLater() {
        return unansweredOrderAt != NEVER && elapsedMs(unansweredOrderAt) <= LATE_ORDER_MS;
    }

    private long elapsedMs(long since) {
        return TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - since);
    }
}
