package org.jujuberouter.cli;

/** A command cannot be carried out on the settings as they are. */
final class RefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    private RefusedException(String message) {
        super(message);
    }

    static RefusedException of(String message) {
        return new RefusedException(message);
    }
}
