package org.jujuberouter.admission;

/** How the use of a permit ended. */
public enum PermitEnd {
    /** The response is complete. */
    COMPLETED,
    /** No byte was sent. */
    NOT_SENT,
    /** The holder cancelled or detached; the request may still be running at the endpoint. */
    ABANDONED,
    /** The connection broke or was refused; the endpoint may have restarted. */
    FAILED
}
