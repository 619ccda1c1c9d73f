package org.jujuberouter.error;

/** What a caller may conclude about the execution of a request. */
public enum ExecutionOutcome {
    /** The whole answer was delivered. */
    COMPLETED("completed"),
    /** Nothing of the request ran at any endpoint. */
    NOT_RUN("not-run"),
    /** The request may have run, in part or in full. */
    MAY_HAVE_RUN("may-have-run");

    /** The response header that carries the outcome. */
    public static final String HEADER = "Jujuberouter-Outcome";

    private final String text;

    ExecutionOutcome(String text) {
        this.text = text;
    }

    /** Returns the form used in headers and error bodies. */
    public String text() {
        return text;
    }
}
