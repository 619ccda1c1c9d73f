package org.jujuberouter.load;

/** A trace or a settings file is not usable; the message names the place. */
public final class LoadException extends Exception {
    private static final long serialVersionUID = 1L;

    private LoadException(String message) {
        super(message);
    }

    static LoadException of(String format, Object... facts) {
        return new LoadException(String.format(format, facts));
    }
}
