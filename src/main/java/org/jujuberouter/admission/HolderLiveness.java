package org.jujuberouter.admission;

import org.jujuberouter.id.Incarnation;

/** What the controller must know about the processes that hold permits. */
public interface HolderLiveness {
    /** Tells whether the holder is believed dead, so that its work may be cancelled. */
    boolean isPresumedDead(Incarnation holder);

    /** Tells whether the holder certainly no longer runs, so that it cannot use a permit any more. */
    boolean isTerminated(Incarnation holder);
}
