package org.jujuberouter.load;

import java.util.Locale;

/** What kind of call a trace entry makes. */
public enum RequestKind {
    /** A completion whose answer arrives as server-sent events. */
    STREAM,
    /** A completion whose answer arrives at once. */
    COMPLETION,
    /** A call to a plain service that may not be repeated. */
    POST,
    /** An idempotent read from a plain service. */
    GET;

    /** Returns the form used in traces and settings. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    boolean isCompletion() {
        return this == STREAM || this == COMPLETION;
    }
}
