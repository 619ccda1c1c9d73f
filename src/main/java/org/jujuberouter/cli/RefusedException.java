package org.jujuberouter.cli;

/** Thrown if a command cannot be applied to the current settings. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private RefusedException(String message) {
        super(message);
    }

    static RefusedException of(String message) {
        return new RefusedException(message);
    }
}
