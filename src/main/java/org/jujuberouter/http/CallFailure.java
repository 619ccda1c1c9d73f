package org.jujuberouter.http;

/**
 * The reason why a call received no complete response.
 *
 * @param kind the kind of failure
 * @param sent whether any byte of the request may have reached the server
 * @param detail explanation for the log
 */
public record CallFailure(Kind kind, boolean sent, String detail) {
    /** The kind of failure of the connection. */
    public enum Kind {
        /** The server's host was reached and refused the connection, for instance because the server restarts. */
        REFUSED,
        /** The connection could not be opened for another reason. */
        CONNECT,
        /** The server closed the connection before the response was complete. */
        CLOSED,
        /** The connection was reset or failed with an I/O error. */
        RESET,
        /** The response violated the HTTP protocol. */
        MALFORMED
    }
}
