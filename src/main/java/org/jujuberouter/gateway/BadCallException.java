package org.jujuberouter.gateway;

/** A caller's request that cannot be understood. */
public final class BadCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private BadCallException(String message) {
        super(message);
    }

    /** Returns the exception with a sentence for the caller. */
    public static BadCallException of(String message) {
        return new BadCallException(message);
    }
}
