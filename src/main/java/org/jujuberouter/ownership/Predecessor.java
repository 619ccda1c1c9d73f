package org.jujuberouter.ownership;

import java.util.List;
import org.jujuberouter.id.Incarnation;

/**
 * An earlier owner that has not released the endpoint and may still grant permits from its lapsed share.
 *
 * <p>The share is not stored as a number, because the bound changes during ramp-up and at cold starts. The record
 * instead contains the owner's own predecessors, from which both owners compute the same share for any bound.
 *
 * @param owner the earlier owner
 * @param fence its fencing number
 * @param predecessors the predecessors in the record at the time it was replaced
 */
public record Predecessor(Incarnation owner, long fence, List<Predecessor> predecessors) {
    /** Returns the part of a bound that the predecessor may still use: three quarters of its share, rounded down. */
    public long retainedShare(long bound) {
        return lapsedShare(share(bound, predecessors));
    }

    /**
     * Returns the part of a bound that a successor reserves for the predecessor: its lapsed share, but at least one.
     *
     * <p>An owner that is paused between its last check and the first byte sends late. Its work that is permitted but
     * not sent never exceeds its lapsed share, or one request if that share is 0.
     */
    public long reservation(long bound) {
        return Math.max(Math.min(1, bound), retainedShare(bound));
    }

    /** Returns the part of a bound that an owner with these predecessors may use while its lease is valid. */
    static long share(long bound, List<Predecessor> predecessors) {
        long share = bound;
        for (Predecessor predecessor : predecessors) {
            share -= predecessor.retainedShare(bound);
        }
        return Math.max(0, share);
    }

    /** Returns the part of a share that stays usable after the owner's lease has lapsed. */
    static long lapsedShare(long share) {
        return Math.floorDiv(3 * share, 4);
    }
}
