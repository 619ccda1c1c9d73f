package org.jujuberouter.membership;

/** The state of an instance in another instance's view. */
public enum MemberState {
    /** Listed or heard from; may own endpoints. */
    LIVE,
    /** Heartbeats are overdue; keeps the endpoints that it owns. */
    SUSPECT,
    /** Listed as leaving or reported itself as leaving; takes over no further endpoints. */
    LEAVING,
    /** Silent for {@link Membership#DEAD_AFTER}, or removed from the list and not heard from. */
    DEAD
}
