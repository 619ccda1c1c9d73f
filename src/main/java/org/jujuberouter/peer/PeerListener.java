package org.jujuberouter.peer;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;

/**
 * Receives what peers send.
 *
 * <p>The methods run on the reading thread of one connection, in the order of its frames, and at the same time for
 * different connections. They must not wait: a listener that blocks for 3 s makes its connection count as silent.
 */
public interface PeerListener {
    /** Takes a message; replies go out through {@link PeerConnection#send}. */
    void onMessage(PeerConnection from, PeerMessage message);

    /** Notes that a connection to the peer opened, or that the peer announced a new incarnation on it. */
    default void onConnected(Incarnation peer, FailureDomain domain) {}

    /** Notes that a connection to the peer closed; another one may still be open. */
    default void onDisconnected(Incarnation peer) {}
}
