package org.jujuberouter.load;

import java.util.Locale;

/** Kind of request that a trace entry makes. */
public enum RequestKind {
    /** A completion whose response is streamed as server-sent events. */
    STREAM,
    /** A completion whose response is a single JSON document. */
    COMPLETION,
    /** A non-idempotent call to a plain service. */
    POST,
    /** An idempotent read from a plain service. */
    GET;

    /** Returns the name used in traces and experiment files. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    boolean isCompletion() {
        return this == STREAM || this == COMPLETION;
    }
}
