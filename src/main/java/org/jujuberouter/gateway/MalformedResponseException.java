package org.jujuberouter.gateway;

/** Thrown when bytes of an endpoint cannot be part of a sound response; the attempt ends as failed. */
final class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    private MalformedResponseException(String message) {
        super(message);
    }

    /** Returns an exception for an incomplete event that exceeds the size limit. */
    static MalformedResponseException eventTooLarge(int bytes, int maxBytes) {
        return new MalformedResponseException(
                "an event of " + bytes + " bytes or more exceeds the limit of " + maxBytes);
    }
}
