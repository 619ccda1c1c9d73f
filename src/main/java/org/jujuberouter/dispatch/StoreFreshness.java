package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Confirmation;
import org.jujuberouter.misc.Ticker;

/**
 * The age of this instance's view of the store.
 *
 * <p>A revoked API key must not be accepted longer than a given bound, even by an instance that is disconnected from
 * the store. An instance therefore accepts API keys only while its view is younger than that bound. After a suspension of
 * the machine or a step of the wall clock, the view is not used until the store has answered again.
 */
public final class StoreFreshness {
    /**
     * Fraction of the revocation bound for which a view is used; the rest covers delays between check and execution.
     */
    private static final double USABLE_FRACTION = 0.76;

    /** Difference between the clocks that indicates a suspended machine or a step of the wall clock. */
    private static final long MAX_CLOCK_DRIFT_MS = 150;

    private final Confirmation confirmation;
    private final long usableNanos;

    private StoreFreshness(Confirmation confirmation, long usableNanos) {
        this.confirmation = confirmation;
        this.usableNanos = usableNanos;
    }

    /** Returns the state before the store has been read. */
    public static StoreFreshness of(Ticker monotonicClock, Ticker wallClock, long revocationBoundMs) {
        return new StoreFreshness(
                Confirmation.none(monotonicClock, wallClock, TimeUnit.MILLISECONDS.toNanos(MAX_CLOCK_DRIFT_MS)),
                (long) (TimeUnit.MILLISECONDS.toNanos(revocationBoundMs) * USABLE_FRACTION));
    }

    /** Records that the view matched the store at the given time of the monotonic clock. */
    public void confirmAt(long atNanos) {
        confirmation.confirmAt(atNanos);
    }

    /** Returns whether the view may still be used. */
    public boolean isCurrent() {
        return confirmation.isYoungerThan(usableNanos);
    }

    /** Returns the age of the view in milliseconds, or -1 if it is unknown. */
    public long ageMs() {
        return confirmation.ageMs();
    }
}
