package org.jujuberouter.peer;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;

/**
 * Receives messages and connection events of peers.
 *
 * <p>The methods run on the reader thread of a connection, in the order of its frames, and concurrently for different
 * connections. They must not block: a listener that blocks for 3 s makes its connection time out as silent.
 */
public interface PeerListener {
    /** Called for each message; replies are sent through {@link PeerConnection#send}. */
    void onMessage(PeerConnection from, PeerMessage message);

    /** Called when a connection to the peer opens, or when the peer announces a new incarnation on it. */
    default void onConnected(Incarnation peer, FailureDomain domain) {}

    /** Called when a connection to the peer closes; another one may still be open. */
    default void onDisconnected(Incarnation peer) {}
}
