package org.jujuberouter.admission;

import org.jujuberouter.id.Incarnation;

/** The liveness of the processes that hold permits. */
public interface HolderLiveness {
    /** Returns whether the holder is presumed dead by failure detection, so that its work may be cancelled. */
    boolean isPresumedDead(Incarnation holder);

    /** Returns whether the holder is known to have terminated, so that it can no longer use a permit. */
    boolean isTerminated(Incarnation holder);
}
