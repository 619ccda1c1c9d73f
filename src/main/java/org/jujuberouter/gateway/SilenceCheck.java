package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/** Checks whether an endpoint has sent nothing for a given time. */
final class SilenceCheck {
    /** Shortest time between two checks. */
    private static final long MIN_INTERVAL_MS = 300;

    private final EventLoop loop;
    private final long limitMs;
    private final LongSupplier silentForMs;
    private final BooleanSupplier onSilence;
    private ScheduledFuture<?> timer;

    private SilenceCheck(EventLoop loop, long limitMs, LongSupplier silentForMs, BooleanSupplier onSilence) {
        this.loop = loop;
        this.limitMs = limitMs;
        this.silentForMs = silentForMs;
        this.onSilence = onSilence;
    }

    /**
     * Starts a check.
     *
     * @param limitMs the time after which silence is reported
     * @param silentForMs for how long the endpoint has been silent
     * @param onSilence handles the silence; returns whether to check again after the same time
     */
    static SilenceCheck start(EventLoop loop, long limitMs, LongSupplier silentForMs, BooleanSupplier onSilence) {
        SilenceCheck check = new SilenceCheck(loop, limitMs, silentForMs, onSilence);
        check.schedule(limitMs);
        return check;
    }

    private void schedule(long afterMs) {
        timer = loop.schedule(this::check, afterMs, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long remainingMs = limitMs - silentForMs.getAsLong();
        if (remainingMs > 0) {
            schedule(Math.max(remainingMs, MIN_INTERVAL_MS));
            return;
        }
        if (onSilence.getAsBoolean()) {
            schedule(limitMs);
        }
    }

    void cancel() {
        timer.cancel(false);
    }
}
