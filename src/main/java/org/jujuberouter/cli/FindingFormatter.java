package org.jujuberouter.cli;

import java.util.List;
import org.jujuberouter.configcheck.Finding;
import org.jujuberouter.configcheck.Severity;

/** Formats findings of {@code check-config} as text. */
final class FindingFormatter {
    /** Maximum length of a part of a line; values come from the document and may be of any length. */
    private static final int MAX_LENGTH = 200;

    private FindingFormatter() {}

    /** Returns a finding as one line. */
    static String format(Finding finding) {
        StringBuilder line = new StringBuilder()
                .append(finding.severity())
                .append(' ')
                .append(finding.path().isEmpty() ? "/" : printable(finding.path()))
                .append(": ")
                .append(printable(finding.text()));
        if (!finding.value().isEmpty()) {
            line.append("; found: ").append(printable(finding.value()));
        }
        if (!finding.bound().isEmpty()) {
            line.append("; must be: ").append(printable(finding.bound()));
        }
        return line.toString();
    }

    /** Returns the numbers of findings by severity. */
    static String summary(List<Finding> findings) {
        return count(findings, Severity.ERROR) + " errors, " + count(findings, Severity.WARNING) + " warnings, "
                + count(findings, Severity.NOTE) + " notes";
    }

    private static long count(List<Finding> findings, Severity severity) {
        return findings.stream().filter(f -> f.severity() == severity).count();
    }

    /** Returns the text without characters that a terminal would interpret, and with a bounded length. */
    static String printable(String text) {
        StringBuilder shown = new StringBuilder();
        text.codePoints().limit(MAX_LENGTH).forEach(c -> {
            boolean visible = !Character.isISOControl(c)
                    && Character.getType(c) != Character.FORMAT
                    && Character.getType(c) != Character.LINE_SEPARATOR
                    && Character.getType(c) != Character.PARAGRAPH_SEPARATOR
                    && Character.getType(c) != Character.SURROGATE;
            if (visible) {
                shown.appendCodePoint(c);
            } else {
                shown.append(String.format("\\u%04x", c));
            }
        });
        return text.codePointCount(0, text.length()) > MAX_LENGTH ? shown + "..." : shown.toString();
    }
}
