package org.jujuberouter.admission;

import java.time.Duration;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The part of an endpoint's bound that this controller may use, as ownership changes.
 *
 * <p>A new owner grants nothing until it has a list of the engine's requests that was requested at least
 * {@link #SETTLE_DELAY} after it took over, because only then is every permit of the earlier owner either in that list
 * or expired. For the same reason the share of a cleared predecessor is used only after such a list.
 */
final class OwnershipShare {
    /** Validity of a permit plus a margin for delivery and for clock drift. */
    static final Duration SETTLE_DELAY = Permit.VALIDITY.plusMillis(250);

    private static final LongUnaryOperator NONE = bound -> 0;

    private final Supplier<AdmissionAuthority> source;
    private AdmissionAuthority authority;
    private long fence;
    private long firstFence;
    private int uncertainPredecessors;
    private long handedOverFence = -1;
    private boolean settling;
    private LongUnaryOperator reserved = NONE;
    private LongUnaryOperator retained = NONE;
    private boolean retaining;
    private long changedAt;

    OwnershipShare(Supplier<AdmissionAuthority> source) {
        this.source = source;
    }

    /** Reads the current authority; returns it if this instance may admit now, else null. */
    AdmissionAuthority.Held refresh(long now) {
        authority = source.get();
        if (!(authority instanceof AdmissionAuthority.Held current)) {
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
        if (current.uncertainPredecessors() < uncertainPredecessors) {
            retained = retaining ? retained : reserved;
            retaining = true;
            changedAt = now;
        }
        uncertainPredecessors = current.uncertainPredecessors();
        reserved = current.reserved();
        return current;
    }

    AdmissionAuthority authority() {
        return authority;
    }

    /** Records that all permits granted under the given fencing number are known. */
    void handedOver(long givenFence) {
        handedOverFence = givenFence;
        if (settling && fence == givenFence + 1) {
            settling = false;
            firstFence = givenFence;
        }
    }

    /** Records a complete list requested at the given time; returns whether it settled the share. */
    boolean listAsOf(long requestedAtNanos) {
        boolean complete = (settling || retaining) && requestedAtNanos - changedAt >= SETTLE_DELAY.toNanos();
        if (complete) {
            settling = false;
            retaining = false;
        }
        return complete;
    }

    boolean settling() {
        return settling;
    }

    boolean inDoubt() {
        return uncertainPredecessors > 0 || settling || retaining;
    }

    long fence() {
        return fence;
    }

    long firstFence() {
        return firstFence;
    }

    /** Returns the part of a bound that own work may use in addition to the known foreign work. */
    Capacity limit(AdmissionAuthority.Held current, Capacity bound, CapacityUsage foreign) {
        return Capacity.of(
                limit(current, bound.slots(), foreign.slots()), limit(current, bound.tokens(), foreign.tokens()));
    }

    private long limit(AdmissionAuthority.Held current, long bound, long foreign) {
        long reservedPart = current.reserved().applyAsLong(bound);
        if (retaining) {
            reservedPart = Math.max(reservedPart, retained.applyAsLong(bound));
        }
        // Running foreign work is subtracted in addition to the reserved part: an earlier owner that was paused may
        // have granted permits up to its lapsed share that are not in use yet, beside work that was already running.
        return Math.min(current.usable().applyAsLong(bound), bound - reservedPart - foreign);
    }
}
