package org.jujuberouter.admission;

import java.time.Duration;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The part of an endpoint's bound that this controller may use, as ownership changes.
 *
 * <p>A new owner grants nothing until it has seen a list of the engine's requests that was asked for {@link #SETTLE} after
 * it took over, because only then every permit of the earlier owner is either in that list or expired. For the same reason
 * the share of a cleared predecessor is used only after such a list.
 */
final class Share {
    /** Life of a permit plus a margin for delivery and for clocks of different rates. */
    static final Duration SETTLE = Permit.VALIDITY.plusMillis(250);

    private static final LongUnaryOperator NOTHING = bound -> 0;

    private final Supplier<AdmissionAuthority> source;
    private AdmissionAuthority mandate;
    private long fence;
    private long firstFence;
    private int doubts;
    private long handedOverFence = -1;
    private boolean settling;
    private LongUnaryOperator reserved = NOTHING;
    private LongUnaryOperator held = NOTHING;
    private boolean holding;
    private long changedAt;

    Share(Supplier<AdmissionAuthority> source) {
        this.source = source;
    }

    /** Asks ownership anew; returns the mandate if this instance admits now, else null. */
    AdmissionAuthority.Held refresh(long now) {
        mandate = source.get();
        if (!(mandate instanceof AdmissionAuthority.Held current)) {
            return null;
        }
        if (current.fence() != fence) {
            boolean handedOver = current.fence() == handedOverFence + 1;
            if (!handedOver && (fence == 0 || current.fence() != fence + 1)) {
                settling = true;
                changedAt = now;
                firstFence = current.fence();
            } else if (handedOver && fence == 0) {
                firstFence = handedOverFence;
            }
            fence = current.fence();
        }
        if (current.doubts() < doubts) {
            held = holding ? held : reserved;
            holding = true;
            changedAt = now;
        }
        doubts = current.doubts();
        reserved = current.reserved();
        return current;
    }

    AdmissionAuthority mandate() {
        return mandate;
    }

    /** Notes that all permits granted under the given fencing number are known. */
    void handedOver(long givenFence) {
        handedOverFence = givenFence;
        if (settling && fence == givenFence + 1) {
            settling = false;
            firstFence = givenFence;
        }
    }

    /** Takes in that a complete picture as of the given time exists; tells whether the share became final by it. */
    boolean pictureAsOf(long asked) {
        boolean complete = (settling || holding) && asked - changedAt >= SETTLE.toNanos();
        if (complete) {
            settling = false;
            holding = false;
        }
        return complete;
    }

    boolean settling() {
        return settling;
    }

    boolean inDoubt() {
        return doubts > 0 || settling || holding;
    }

    long fence() {
        return fence;
    }

    long firstFence() {
        return firstFence;
    }

    /** Returns what own work may use of a bound beside the foreign work that is known. */
    Capacity limit(AdmissionAuthority.Held current, Capacity bound, LaneUsage foreign) {
        return Capacity.of(
                limit(current, bound.slots(), foreign.slots()), limit(current, bound.tokens(), foreign.tokens()));
    }

    private long limit(AdmissionAuthority.Held current, long bound, long foreign) {
        long setAside = current.reserved().applyAsLong(bound);
        if (holding) {
            setAside = Math.max(setAside, held.applyAsLong(bound));
        }
        // The foreign work that runs is not part of what is set aside: an earlier owner that was paused may have
        // had up to its lapsed share permitted and not sent besides the work that already ran.
        return Math.min(current.usable().applyAsLong(bound), bound - setAside - foreign);
    }
}
