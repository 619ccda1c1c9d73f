package org.jujuberouter.error;

/**
 * Base class of checked exceptions that are reported to the caller.
 *
 * <p>Carries the data of the error body: the error kind, the execution outcome and the invalid parameter, if any.
 */
public class JujuberouterException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final ExecutionOutcome outcome;
    private final String param;

    /** Creates an exception whose message is the kind's template formatted with {@code args}. */
    protected JujuberouterException(
            ErrorKind kind, ExecutionOutcome outcome, String param, Throwable cause, Object... args) {
        super(kind.message(args), cause);
        this.kind = kind;
        this.outcome = outcome;
        this.param = param;
    }

    /** Returns an exception for a request that was not executed. */
    public static JujuberouterException notRun(ErrorKind kind, Object... args) {
        return new JujuberouterException(kind, ExecutionOutcome.NOT_RUN, null, null, args);
    }

    /** Returns an exception for a request that was not executed because a parameter is missing or invalid. */
    public static JujuberouterException invalidParameter(ErrorKind kind, String param, Object... args) {
        return new JujuberouterException(kind, ExecutionOutcome.NOT_RUN, param, null, args);
    }

    /** Returns an exception for a request that may have been executed. */
    public static JujuberouterException mayHaveRun(ErrorKind kind, Throwable cause, Object... args) {
        return new JujuberouterException(kind, ExecutionOutcome.MAY_HAVE_RUN, null, cause, args);
    }

    public ErrorKind kind() {
        return kind;
    }

    /** Returns what the caller can conclude about the execution of the request. */
    public ExecutionOutcome outcome() {
        return outcome;
    }

    /** Returns the name of the invalid request parameter, or null. */
    public String param() {
        return param;
    }
}
