package org.jujuberouter.control;

/** Receives what the store says. */
public interface FeedListener {
    /** A key was written. */
    void onFact(String key, ControlFact fact);

    /**
     * A key is gone.
     *
     * @param fact what it said last
     * @param seenLive whether the removal was seen while the store answered; otherwise it happened at some time before
     */
    void onRemoved(String key, ControlFact fact, boolean seenLive);

    /** The state is known as of the moment at which the call was sent. */
    void onContact(long sentNanos);

    /** The store answers no longer. */
    void onContactLost(String reason);
}
