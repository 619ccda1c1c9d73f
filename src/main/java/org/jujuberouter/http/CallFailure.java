package org.jujuberouter.http;

/**
 * Why a call got no whole answer.
 *
 * @param kind what happened
 * @param sent whether any byte of the request may have reached the other side
 * @param detail a sentence for the log
 */
public record CallFailure(Kind kind, boolean sent, String detail) {
    /** What happened to the connection. */
    public enum Kind {
        /** The connection could not be opened. */
        CONNECT,
        /** The other side closed it before the answer was whole. */
        CLOSED,
        /** The connection was reset or failed. */
        RESET,
        /** The bytes were no answer of the protocol. */
        MALFORMED
    }
}
