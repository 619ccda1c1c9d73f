package org.jujuberouter.control;

/** Receives changes to the store and to the connection with it. */
public interface StoreListener {
    /** Called when a key was written. */
    void onWritten(String key, ControlEntry entry);

    /**
     * Called when a key was removed.
     *
     * @param lastEntry the last value of the key
     * @param observedLive whether the removal was observed while the store was reachable; otherwise its time is unknown
     */
    void onRemoved(String key, ControlEntry lastEntry, boolean observedLive);

    /** Called when the state was confirmed as of the time at which the request was sent. */
    void onConfirmed(long sentNanos);

    /** Called when the store did not answer or returned an error. */
    void onUnavailable(String reason);
}
