package org.jujuberouter.peer;

/** Thrown when a peer or the connection to it fails, or when a message is invalid. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kinds of failures, each with its message template. */
    public enum Kind {
        TRUNCATED("the frame ends inside %s"),
        OVERSIZED("%s is %d, the limit is %d"),
        MALFORMED("malformed %s: %s"),
        WRONG_MAGIC("expected the magic of the peer protocol at the start of the connection, got %s"),
        UNSUPPORTED_VERSION("the peer speaks version %d of the protocol, this instance speaks version %d"),
        UNKNOWN_TYPE("unknown message type %d"),
        NOT_CONNECTED("no connection to instance %s"),
        QUEUE_FULL("send queue full: %d bytes in %d frames are queued for instance %s"),
        CALL_TIMEOUT("instance %s did not reply within %d ms"),
        CLOSED("the connection to %s is closed: %s");

        private final String template;

        Kind(String template) {
            this.template = template;
        }
    }

    private final Kind kind;

    private PeerException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    static PeerException of(Kind kind, Object... arguments) {
        return new PeerException(kind, String.format(kind.template, arguments), null);
    }

    static PeerException malformed(String what, Throwable cause) {
        return new PeerException(
                Kind.MALFORMED, String.format(Kind.MALFORMED.template, what, cause.getMessage()), cause);
    }

    public Kind kind() {
        return kind;
    }
}
