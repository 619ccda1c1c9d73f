package org.jujuberouter.control;

import org.jujuberouter.id.StorePosition;

/** Receives changes to the store and to the connection with it. */
public interface StoreListener {
    /** Called when a key was written. */
    void onWritten(String key, ControlEntry entry);

    /**
     * Called when a key was removed.
     *
     * @param lastEntry the last value of the key
     * @param graceMs time within which the key may be written again, because it may have expired only since the store did not
     *     serve, in milliseconds; 0 if it was removed
     */
    void onRemoved(String key, ControlEntry lastEntry, long graceMs);

    /**
     * Called when the store was restored from a copy, before the changes that this makes.
     *
     * @param last the position of the view until then
     * @param restored the position of the view from now on
     */
    default void onRestored(StorePosition last, StorePosition restored) {}

    /** Called when the state was confirmed as of the time at which the request was sent. */
    void onConfirmed(long sentNanos);

    /** Called when the store did not answer or returned an error. */
    void onUnavailable(String reason);
}
