package org.jujuberouter.gateway;

/** Thrown when the head of a caller's request cannot be parsed; answered with status 400. */
public final class MalformedRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    private MalformedRequestException(String message) {
        super(message);
    }

    /** Returns an exception whose message is sent to the caller as the response body. */
    public static MalformedRequestException of(String message) {
        return new MalformedRequestException(message);
    }
}
