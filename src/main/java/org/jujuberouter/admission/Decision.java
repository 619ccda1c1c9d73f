package org.jujuberouter.admission;

/** The decision on a permit request. */
public sealed interface Decision {
    /**
     * The request may be sent.
     *
     * @param permit the permit
     */
    record Granted(Permit permit) implements Decision {}

    /** The request is queued; the holder repeats its request every {@link Permit#RETRY_PERIOD}. */
    record Waiting() implements Decision {}

    /**
     * The request may not be sent.
     *
     * @param reason why
     */
    record Refused(Refusal reason) implements Decision {}
}
