package org.jujuberouter.store;

/** Thrown if the platform did not respond or returned an error. */
public class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    private PlatformException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns an exception for an operation without a usable response. */
    public static PlatformException unavailable(String operation, Throwable cause) {
        return new PlatformException("the platform did not answer \"" + operation + "\": " + cause, cause);
    }

    /** Returns an exception for an operation that the platform rejected. */
    public static PlatformException refused(String operation, String reason) {
        return new PlatformException("the platform refused \"" + operation + "\": " + reason, null);
    }
}
