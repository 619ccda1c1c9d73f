package org.jujuberouter.outcome;

import org.jujuberouter.id.RequestId;

/** Permission to run a call once, backed by a record in the store. Its result can be reported only once. */
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

    /** Returns the id of the request that may run the call. */
    public RequestId id() {
        return id;
    }

    KeyedCall call() {
        return call;
    }

    long revision() {
        return revision;
    }

    /** Marks the result as reported; afterwards no byte of the call may be sent. */
    synchronized void close() {
        if (closed) {
            throw new IllegalStateException("the result of attempt " + id + " was already reported");
        }
        closed = true;
    }
}
