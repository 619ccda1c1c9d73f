package org.jujuberouter.outcome;

import org.jujuberouter.id.RequestId;

/** The right to run a call once, backed by a record in the store. It is used up by one report of how the call ended. */
public final class KeyedAttempt {
    private final KeyedCall call;
    private final RequestId id;
    private final long revision;
    private boolean closed;

    private KeyedAttempt(KeyedCall call, RequestId id, long revision) {
        this.call = call;
        this.id = id;
        this.revision = revision;
    }

    static KeyedAttempt of(KeyedCall call, RequestId id, long revision) {
        return new KeyedAttempt(call, id, revision);
    }

    /** Returns the id of the request that holds the right. */
    public RequestId id() {
        return id;
    }

    KeyedCall call() {
        return call;
    }

    long revision() {
        return revision;
    }

    /** Marks the attempt as reported; afterwards no byte of the call may leave. */
    synchronized void close() {
        if (closed) {
            throw new IllegalStateException("the end of attempt " + id + " was already reported");
        }
        closed = true;
    }
}
