package org.jujuberouter.report;

/** Thrown when a report cannot be created from its input. */
public final class ReportException extends Exception {
    private static final long serialVersionUID = 1L;

    private ReportException(String message) {
        super(message);
    }

    static ReportException of(String message) {
        return new ReportException(message);
    }
}
