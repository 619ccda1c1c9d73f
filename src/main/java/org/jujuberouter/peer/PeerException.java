package org.jujuberouter.peer;

/** A fault of a peer, of its bytes or of the connection to it. */
public final class PeerException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kinds of faults, each with its message template. */
    public enum Kind {
        TRUNCATED("the frame ends inside %s"),
        OVERSIZED("%s is %d, the bound is %d"),
        MALFORMED("malformed %s: %s"),
        WRONG_MAGIC("the connection does not start with the magic of this protocol but with %s"),
        UNSUPPORTED_VERSION("the peer speaks version %d of the protocol, this instance speaks version %d"),
        UNKNOWN_TYPE("unknown message type %d"),
        NOT_CONNECTED("no connection to instance %s"),
        QUEUE_FULL("%d bytes in %d frames already wait for instance %s"),
        CALL_TIMEOUT("instance %s did not answer within %d ms"),
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

    static PeerException of(Kind kind, Object... facts) {
        return new PeerException(kind, String.format(kind.template, facts), null);
    }

    static PeerException malformed(String what, Throwable cause) {
        return new PeerException(
                Kind.MALFORMED, String.format(Kind.MALFORMED.template, what, cause.getMessage()), cause);
    }

    /** Returns the kind of the fault. */
    public Kind kind() {
        return kind;
    }
}
