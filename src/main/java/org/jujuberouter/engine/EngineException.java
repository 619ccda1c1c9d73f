package org.jujuberouter.engine;

/** An endpoint could not be reached, refused a request or failed before the response was complete. */
public class EngineException extends Exception {
    private static final long serialVersionUID = 1L;

    /** How far the request got, which determines its outcome. */
    public enum Progress {
        /** No connection was established, so nothing was sent. */
        NOT_SENT,
        /** The endpoint responded that it did not start the request. */
        REFUSED,
        /** At least a part of the request may have been sent. */
        SENT
    }

    private final Progress progress;
    private final int status;

    private EngineException(Progress progress, int status, String message, Throwable cause) {
        super(message, cause);
        this.progress = progress;
        this.status = status;
    }

    /** Returns an exception for a connection that could not be established. */
    public static EngineException notSent(String address, Throwable cause) {
        return new EngineException(Progress.NOT_SENT, 0, "failed to connect to " + address + ": " + cause, cause);
    }

    /** Returns an exception for a response stating that the endpoint did not start the request. */
    public static EngineException refused(String address, int status, String body) {
        return new EngineException(
                Progress.REFUSED, status, address + " responded with status " + status + ": " + body, null);
    }

    /** Returns an exception for an error response that does not tell whether the request ran. */
    public static EngineException failed(String address, int status, String body) {
        return new EngineException(
                Progress.SENT, status, address + " responded with status " + status + ": " + body, null);
    }

    /** Returns an exception for a connection that was lost after the request may have been sent. */
    public static EngineException connectionLost(String address, Throwable cause) {
        return new EngineException(Progress.SENT, 0, "lost the connection to " + address + ": " + cause, cause);
    }

    /** Returns how far the request got. */
    public Progress progress() {
        return progress;
    }

    /** Returns the HTTP status, or zero if there was no response. */
    public int status() {
        return status;
    }
}
