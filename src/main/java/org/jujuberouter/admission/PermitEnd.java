package org.jujuberouter.admission;

/** How the use of a permit ended. */
public enum PermitEnd {
    /** The endpoint answered in full. */
    COMPLETED,
    /** No byte was sent. */
    NOT_SENT,
    /** The holder cancelled or detached; the endpoint may still hold the request. */
    ABANDONED,
    /** The connection broke or was refused; the endpoint may have restarted. */
    FAILED
}
