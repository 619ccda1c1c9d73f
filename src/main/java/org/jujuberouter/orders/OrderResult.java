package org.jujuberouter.orders;

/** How the sending of an order ended. */
public enum OrderResult {
    /** The engine accepted it. */
    ACCEPTED,

    /** The engine has seen a higher fencing number. */
    STALE,

    /** It was not sent. */
    NOT_SENT,

    /** No reply came; the engine may have accepted it. */
    UNKNOWN
}
