package org.jujuberouter.engine;

/** An endpoint could not be reached, refused a call or broke off an answer. */
public class EngineException extends Exception {
    private static final long serialVersionUID = 1L;

    /** How far the request got, from which the outcome follows. */
    public enum Progress {
        /** No connection was made, so nothing reached the endpoint. */
        NOT_SENT,
        /** The endpoint answered that it did not start the request. */
        REFUSED,
        /** Bytes of the request may have reached the endpoint. */
        SENT
    }

    private final Progress progress;
    private final int status;

    private EngineException(Progress progress, int status, String message, Throwable cause) {
        super(message, cause);
        this.progress = progress;
        this.status = status;
    }

    /** Returns an exception for a connection that was never made. */
    public static EngineException notSent(String address, Throwable cause) {
        return new EngineException(Progress.NOT_SENT, 0, "no connection to " + address + ": " + cause, cause);
    }

    /** Returns an exception for an answer in which the endpoint says that the request did not start. */
    public static EngineException refused(String address, int status, String body) {
        return new EngineException(Progress.REFUSED, status, address + " answered " + status + ": " + body, null);
    }

    /** Returns an exception for an answer with an error that leaves open whether the request ran. */
    public static EngineException failed(String address, int status, String body) {
        return new EngineException(Progress.SENT, status, address + " answered " + status + ": " + body, null);
    }

    /** Returns an exception for a connection that broke after the request may have been sent. */
    public static EngineException connectionLost(String address, Throwable cause) {
        return new EngineException(Progress.SENT, 0, "connection to " + address + " broke: " + cause, cause);
    }

    /** Returns how far the request got. */
    public Progress progress() {
        return progress;
    }

    /** Returns the HTTP status, or zero when there was no answer. */
    public int status() {
        return status;
    }
}
