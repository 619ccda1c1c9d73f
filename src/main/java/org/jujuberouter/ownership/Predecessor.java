package org.jujuberouter.ownership;

import java.util.List;
import org.jujuberouter.id.Incarnation;

/**
 * An earlier owner that has not released the endpoint and may still grant its lapsed share.
 *
 * <p>Its share cannot be stored as a number, because the bound moves with the ramp and with cold starts. Stored instead are
 * the predecessors that it counted itself, from which both sides compute the same share for any bound.
 *
 * @param owner the earlier owner
 * @param fence its fencing number
 * @param counted the predecessors that it counted when it was replaced
 */
public record Predecessor(Incarnation owner, long fence, List<Predecessor> counted) {
    /** Returns what the predecessor may keep of a bound: three quarters of the share that it had, rounded down. */
    public long keeps(long bound) {
        return lapsed(share(bound, counted));
    }

    /**
     * Returns what a successor sets aside for the predecessor: its lapsed share, but at least one.
     *
     * <p>An owner that is paused between its last check and the first byte sends late. It never has more work permitted
     * and not sent than its lapsed share, or one request where that share is nothing.
     */
    public long setAside(long bound) {
        return Math.max(Math.min(1, bound), keeps(bound));
    }

    /** Returns what an owner with these predecessors may use of a bound while its lease is valid. */
    static long share(long bound, List<Predecessor> predecessors) {
        long share = bound;
        for (Predecessor predecessor : predecessors) {
            share -= predecessor.keeps(bound);
        }
        return Math.max(0, share);
    }

    /** Returns what remains of a share once the lease of its owner has lapsed. */
    static long lapsed(long share) {
        return Math.floorDiv(3 * share, 4);
    }
}
