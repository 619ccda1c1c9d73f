package org.jujuberouter.standin.model;

/** An engine refused a call. */
public final class EngineModelException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why a call was refused. */
    public enum Reason {
        DOWN,
        WRONG_MODEL,
        DUPLICATE_REQUEST,
        UNKNOWN_REQUEST,
        BAD_OFFSET,
        RESERVATION_TOO_SMALL
    }

    private final Reason reason;

    EngineModelException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns the reason. */
    public Reason reason() {
        return reason;
    }
}
