package org.jujuberouter.control;

/** Receives what the store says. */
public interface StoreListener {
    /** A key was written. */
    void onWritten(String key, ControlEntry entry);

    /**
     * A key is gone.
     *
     * @param fact what it said last
     * @param seenLive whether the removal was seen while the store answered; otherwise it happened at some time before
     */
    void onRemoved(String key, ControlEntry lastEntry, boolean observedLive);

    /** The state is known as of the moment at which the call was sent. */
    void onConfirmed(long sentNanos);

    /** The store answers no longer. */
    void onUnavailable(String reason);
}
