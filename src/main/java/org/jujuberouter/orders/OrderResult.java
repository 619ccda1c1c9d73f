package org.jujuberouter.orders;

/** The result of sending an order. */
public enum OrderResult {
    /** The engine accepted the order. */
    ACCEPTED,

    /** The engine rejected the order because it has seen a higher fencing number. */
    STALE,

    /** The order was not sent. */
    NOT_SENT,

    /** No reply was received; the engine may have accepted the order. */
    UNKNOWN
}
