package org.jujuberouter.load;

/** Thrown when a trace, an experiment file or the name of a request mix is invalid; the message says where and why. */
public final class InvalidWorkloadException extends Exception {
    private static final long serialVersionUID = 1L;

    private InvalidWorkloadException(String message) {
        super(message);
    }

    static InvalidWorkloadException of(String format, Object... arguments) {
        return new InvalidWorkloadException(String.format(format, arguments));
    }
}
