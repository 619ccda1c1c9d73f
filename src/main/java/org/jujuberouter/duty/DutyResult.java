package org.jujuberouter.duty;

/** The result of a call to the platform's API. */
public enum DutyResult {
    /** The platform carried out the call. */
    ACCEPTED("accepted"),
    /** The platform has seen a higher token; this one must not be used any more. */
    FENCED("fenced"),
    /** The call exceeded the rate limit of the platform. */
    LIMITED("limited"),
    /** The platform rejected the call for another reason. */
    REJECTED("rejected"),
    /** There was no response; the call may still be carried out later. */
    UNANSWERED("unanswered"),
    /** The call was not sent, because the lease or the rate limit does not permit it. */
    NOT_SENT("not_sent");

    private final String text;

    DutyResult(String text) {
        this.text = text;
    }

    /** Returns the value of the metric label. */
    public String text() {
        return text;
    }
}
