package org.jujuberouter.configcheck;

import java.util.Locale;

/** Severity of a finding, the most severe first. */
public enum Severity {
    /** An instance rejects the entry, or uses another value than the document states. */
    ERROR,
    /** The entry has no effect, contradicts another one, or puts calls at risk. */
    WARNING,
    /** Information that calls for no correction. */
    NOTE;

    /** Returns the name in lower case, as printed. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
