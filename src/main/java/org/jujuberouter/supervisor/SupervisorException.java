package org.jujuberouter.supervisor;

import java.time.Duration;

/** Thrown if a supervisor could not start its children or exceeded its restart limit. */
public class SupervisorException extends Exception {
    private static final long serialVersionUID = 1L;

    private SupervisorException(String message, Throwable cause) {
        super(message, cause);
    }

    static SupervisorException startFailed(String supervisor, String child, Throwable cause) {
        return new SupervisorException(
                "child \"" + child + "\" of \"" + supervisor + "\" did not start: " + cause, cause);
    }

    static SupervisorException tooManyRestarts(
            String supervisor, String child, int maxRestarts, Duration window, Throwable cause) {
        String reason = cause == null ? "it ended" : cause.toString();
        return new SupervisorException(
                "child \"" + child + "\" of \"" + supervisor + "\" ended after " + maxRestarts + " restarts within "
                        + window.toMillis() + " ms: " + reason,
                cause);
    }
}
