package org.jujuberouter.standin.model;

/** Thrown when an emulated engine rejects a call. */
public final class EngineModelException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The reason for which a call was rejected. */
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

    public Reason reason() {
        return reason;
    }
}
