package org.jujuberouter.error;

/** What a caller can conclude about whether a request was executed. */
public enum ExecutionOutcome {
    /** The request ran and its complete response was delivered. */
    COMPLETED("completed"),
    /** No endpoint executed any part of the request. */
    NOT_RUN("not-run"),
    /** An endpoint may have executed the request, partly or completely. */
    MAY_HAVE_RUN("may-have-run");

    /** Name of the response header that carries the outcome. */
    public static final String HEADER = "Jujuberouter-Outcome";

    private final String text;

    ExecutionOutcome(String text) {
        this.text = text;
    }

    /** Returns the outcome as written in response headers and error bodies. */
    public String text() {
        return text;
    }
}
