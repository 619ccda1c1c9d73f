package org.jujuberouter.store;

/** The platform did not answer or answered with an error. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns an exception for an operation that got no usable answer. */
    public static PlatformException unavailable(String operation, Throwable cause) {
        return new PlatformException("the platform did not answer \"" + operation + "\": " + cause, cause);
    }

    /** Returns an exception for an operation that the platform refused. */
    public static PlatformException refused(String operation, String reason) {
        return new PlatformException("the platform refused \"" + operation + "\": " + reason, null);
    }
}
