package org.jujuberouter.configcheck;

/**
 * A result of a check.
 *
 * @param severity how severe it is
 * @param path place in the document, as a JSON Pointer
 * @param value the value that was found; empty if there is none to show
 * @param bound what the value must meet; empty if there is no bound
 * @param text what is wrong
 */
public record Finding(Severity severity, String path, String value, String bound, String text) {
    /** Returns an error. */
    public static Finding error(String path, String value, String bound, String text) {
        return new Finding(Severity.ERROR, path, value, bound, text);
    }

    /** Returns a warning. */
    public static Finding warning(String path, String value, String bound, String text) {
        return new Finding(Severity.WARNING, path, value, bound, text);
    }

    /** Returns a note. */
    public static Finding note(String path, String value, String text) {
        return new Finding(Severity.NOTE, path, value, "", text);
    }
}
