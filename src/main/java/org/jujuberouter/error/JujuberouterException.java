package org.jujuberouter.error;

/**
 * Base of all checked exceptions that reach a caller.
 *
 * <p>It carries the facts from which the error body is made: the kind, the outcome and the parameter at fault.
 */
public class JujuberouterException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final ExecutionOutcome outcome;
    private final String param;

    /** Creates an exception whose message is the kind's template with the facts filled in. */
    protected JujuberouterException(
            ErrorKind kind, ExecutionOutcome outcome, String param, Throwable cause, Object... facts) {
        super(kind.message(facts), cause);
        this.kind = kind;
        this.outcome = outcome;
        this.param = param;
    }

    /** Returns an exception for a request that did not run. */
    public static JujuberouterException notRun(ErrorKind kind, Object... facts) {
        return new JujuberouterException(kind, ExecutionOutcome.NOT_RUN, null, null, facts);
    }

    /** Returns an exception for a request that did not run because a parameter is wrong. */
    public static JujuberouterException invalidParameter(ErrorKind kind, String param, Object... facts) {
        return new JujuberouterException(kind, ExecutionOutcome.NOT_RUN, param, null, facts);
    }

    /** Returns an exception for a request that may have run. */
    public static JujuberouterException mayHaveRun(ErrorKind kind, Throwable cause, Object... facts) {
        return new JujuberouterException(kind, ExecutionOutcome.MAY_HAVE_RUN, null, cause, facts);
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns what the caller may conclude. */
    public ExecutionOutcome outcome() {
        return outcome;
    }

    /** Returns the request parameter at fault, or null. */
    public String param() {
        return param;
    }
}
