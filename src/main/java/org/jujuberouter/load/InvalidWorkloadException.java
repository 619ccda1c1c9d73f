package org.jujuberouter.load;

/** A trace or a settings file is not usable; the message names the place. */
public final class InvalidWorkloadException extends Exception {
    private static final long serialVersionUID = 1L;

    private InvalidWorkloadException(String message) {
        super(message);
    }

    static InvalidWorkloadException of(String format, Object... facts) {
        return new InvalidWorkloadException(String.format(format, facts));
    }
}
