package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Checks whether an endpoint has sent nothing for a given time.
 *
 * <p>A large prompt may rightly be silent for seconds, so its limit is long. An endpoint that is gone is found sooner by
 * probes: it counts as silent as soon as it leaves consecutive ones unanswered.
 */
final class SilenceCheck {
    /** Shortest time between two checks. */
    private static final long MIN_INTERVAL_MS = 300;

    /** Time between two probes of an endpoint that answers them. */
    private static final long PROBE_INTERVAL_MS = 1_500;

    /** One probe may fail on a lossy link. */
    private static final int MAX_FAILED_PROBES = 2;

    /**
     * When an endpoint counts as silent.
     *
     * @param limitMs the time after which it does in any case, in milliseconds
     * @param probeAfterMs the time after which it is probed, in milliseconds; at least the limit if it is not probed
     */
    record Limits(long limitMs, long probeAfterMs) {
        /**
         * Fraction of the caller's timeout after which a silent endpoint counts as failed. Overloaded engines still
         * answer most calls within it.
         */
        private static final double MAX_SILENCE_FRACTION = 0.7;

        /** Time beyond twice the predicted time to the first event before an endpoint counts as silent. */
        private static final long SILENCE_MARGIN_MS = 300;

        /** Silence up to which no probe is sent, since most calls are answered by then. */
        private static final long MIN_PROBE_AFTER_MS = 1_000;

        /** Part of the predicted time to the first event, and time beyond it, after which the endpoint is probed. */
        private static final double PREDICTION_FACTOR = 1.5;

        private static final long PREDICTION_MARGIN_MS = 300;

        /** Returns the limits for a call whose first event is predicted after the given time. */
        static Limits of(long callerTimeoutMs, double predictedFirstEventMs, boolean probed) {
            long limitMs = Math.max(
                    (long) (callerTimeoutMs * MAX_SILENCE_FRACTION),
                    Math.round(2 * predictedFirstEventMs) + SILENCE_MARGIN_MS);
            long expectedMs = Math.round(predictedFirstEventMs * PREDICTION_FACTOR) + PREDICTION_MARGIN_MS;
            return new Limits(limitMs, probed ? Math.max(MIN_PROBE_AFTER_MS, expectedMs) : limitMs);
        }
    }

    private final EventLoop loop;
    private final Limits limits;
    private final LongSupplier silentForMs;
    private final Consumer<Consumer<Boolean>> probe;
    private final BooleanSupplier onSilence;
    private ScheduledFuture<?> timer;
    private int failedProbes;
    private boolean cancelled;

    private SilenceCheck(
            EventLoop loop,
            Limits limits,
            LongSupplier silentForMs,
            Consumer<Consumer<Boolean>> probe,
            BooleanSupplier onSilence) {
        this.loop = loop;
        this.limits = limits;
        this.silentForMs = silentForMs;
        this.probe = probe;
        this.onSilence = onSilence;
    }

    /**
     * Starts a check.
     *
     * @param silentForMs for how long the endpoint has been silent
     * @param probe asks the endpoint whether it answers
     * @param onSilence handles the silence; returns whether to check again after the same time
     */
    static SilenceCheck start(
            EventLoop loop,
            Limits limits,
            LongSupplier silentForMs,
            Consumer<Consumer<Boolean>> probe,
            BooleanSupplier onSilence) {
        SilenceCheck check = new SilenceCheck(loop, limits, silentForMs, probe, onSilence);
        check.schedule(Math.min(limits.limitMs, limits.probeAfterMs));
        return check;
    }

    private void schedule(long afterMs) {
        timer = loop.schedule(this::check, Math.max(afterMs, MIN_INTERVAL_MS), TimeUnit.MILLISECONDS);
    }

    private void check() {
        long silentMs = silentForMs.getAsLong();
        if (silentMs >= limits.limitMs) {
            silent();
        } else if (silentMs >= limits.probeAfterMs) {
            probe.accept(this::onProbed);
        } else {
            schedule(Math.min(limits.limitMs, limits.probeAfterMs) - silentMs);
        }
    }

    private void onProbed(boolean answered) {
        if (cancelled) {
            return;
        }
        failedProbes = answered ? 0 : failedProbes + 1;
        long silentMs = silentForMs.getAsLong();
        if (failedProbes >= MAX_FAILED_PROBES && silentMs >= limits.probeAfterMs) {
            silent();
        } else {
            schedule(Math.min(limits.limitMs - silentMs, answered ? PROBE_INTERVAL_MS : MIN_INTERVAL_MS));
        }
    }

    private void silent() {
        failedProbes = 0;
        if (onSilence.getAsBoolean()) {
            schedule(limits.limitMs);
        }
    }

    void cancel() {
        cancelled = true;
        timer.cancel(false);
    }
}
