package org.jujuberouter.control;

/** The outcome of the renewal of a lease. */
public enum LeaseReply {
    /** The store has renewed the lease. */
    RENEWED,
    /** The lease has expired; the instance must register again. */
    LOST,
    /** There was no usable response; the lease may still be held. */
    UNANSWERED
}
