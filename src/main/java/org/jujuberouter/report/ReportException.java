package org.jujuberouter.report;

/** A report cannot be made from its input. */
public final class ReportException extends Exception {
    private static final long serialVersionUID = 1L;

    private ReportException(String message) {
        super(message);
    }

    static ReportException of(String message) {
        return new ReportException(message);
    }
}
