package org.jujuberouter.orders;

import java.time.Duration;

/** The progress of the orders of the current owner to one endpoint; discarded when the ownership ends. */
final class LoadProgress {
    /** Time for which permits granted before a drain may still result in requests: their lifetime and a margin. */
    static final Duration DRAIN_TIME = Duration.ofMillis(1250);

    /**
     * Time without an effect after which an order is repeated, and time for which a new owner waits before its first
     * order.
     *
     * <p>It exceeds the timeout of a call to an engine plus two report periods.
     */
    static final Duration EFFECT_TIMEOUT = Duration.ofSeconds(5);

    /** Maximum duration of an accepted load; after that, the engine is assumed to have lost the order. */
    static final Duration LOAD_TIMEOUT = Duration.ofMinutes(15);

    /** Time for which a loaded engine still counts as out of service, until all instances know its new model. */
    static final Duration SETTLE_TIME = Duration.ofSeconds(5);

    final long fence;
    final long startedAt;

    /** Whether this owner created the load, in which case no order for it was sent before. */
    boolean startedHere;

    /** Whether this owner has read or written the load in the store and drains the endpoint for it. */
    boolean tracked;

    boolean sent;
    boolean accepted;
    long sentAt;
    long sentBoot;
    int attempts;
    boolean loaded;
    long warmSince;
    boolean fencedOff;
    long roleSentAt;
    boolean roleSent;

    LoadProgress(long fence, long startedAt) {
        this.fence = fence;
        this.startedAt = startedAt;
    }

    /** Returns the progress for a load that this owner creates. */
    static LoadProgress forNewLoad(LoadProgress before, long now) {
        LoadProgress progress = forInheritedLoad(before, now);
        progress.startedHere = true;
        return progress;
    }

    /** Returns the progress for a load that was created by another owner or by a write without a reply. */
    static LoadProgress forInheritedLoad(LoadProgress before, long now) {
        LoadProgress progress = new LoadProgress(before.fence, now);
        progress.tracked = true;
        progress.fencedOff = before.fencedOff;
        progress.roleSent = before.roleSent;
        progress.roleSentAt = before.roleSentAt;
        return progress;
    }

    void orderSent(long now, long boot) {
        sent = true;
        accepted = false;
        sentAt = now;
        sentBoot = boot;
        attempts++;
    }

    /** Returns whether an order is due, given the time at which the latest report was requested. */
    boolean isOrderDue(long requestedNanos, long boot) {
        // A role change that may still be in transit must not overlap with the load.
        if (fencedOff || roleSent && requestedNanos - roleSentAt < EFFECT_TIMEOUT.toNanos()) {
            return false;
        }
        if (!sent) {
            return requestedNanos - startedAt >= (startedHere ? DRAIN_TIME : EFFECT_TIMEOUT).toNanos();
        }
        if (accepted && boot == sentBoot && requestedNanos - sentAt < LOAD_TIMEOUT.toNanos()) {
            return false;
        }
        return requestedNanos - sentAt >= EFFECT_TIMEOUT.toNanos();
    }
}
