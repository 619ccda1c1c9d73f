package org.jujuberouter.membership;

/** What an instance believes about another one. */
public enum MemberState {
    /** Listed or heard from, and may own endpoints. */
    LIVE,
    /** Overdue with its heartbeats; keeps what it owns. */
    SUSPECT,
    /** Listed or reported as leaving: it takes over nothing more. */
    LEAVING,
    /** Silent for long or dropped by the list. */
    DEAD
}
