package org.jujuberouter.admission;

/** The answer to a permit request. */
public sealed interface Decision {
    /**
     * The request may be sent.
     *
     * @param permit the permit
     */
    record Granted(Permit permit) implements Decision {}

    /** The request is queued; the holder asks again every {@link Permit#RETRY_PERIOD}. */
    record Waiting() implements Decision {}

    /**
     * The request may not be sent.
     *
     * @param reason why
     */
    record Refused(Refusal reason) implements Decision {}
}
