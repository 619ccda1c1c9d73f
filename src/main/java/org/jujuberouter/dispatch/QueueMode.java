package org.jujuberouter.dispatch;

/** How it is decided whether a call for which no endpoint has room waits. */
public enum QueueMode {
    /** A call waits for a fixed fraction of its caller's timeout. */
    BY_AGE,
    /** A call waits while it is predicted that it can be served. */
    PREDICTED,
    /** As {@link #PREDICTED}, and engines are kept for the largest prompts. */
    RESERVED
}
