package org.jujuberouter.gateway;

/** A caller's request that cannot be understood. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private MalformedRequestException(String message) {
        super(message);
    }

    /** Returns the exception with a sentence for the caller. */
    public static MalformedRequestException of(String message) {
        return new MalformedRequestException(message);
    }
}
