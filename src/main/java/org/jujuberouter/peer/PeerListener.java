package org.jujuberouter.peer;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;

/**
 * Receives messages and connection events of peers.
 *
 * <p>The methods are called in the order of the frames of a connection: on the event loop of a network that was started
 * on one, otherwise on virtual threads and concurrently for different connections. They must not block: a listener that
 * blocks for 3 s makes its connection time out as silent.
 */
public interface PeerListener {
    /** Called for each message; replies are sent through {@link PeerConnection#send}. */
    void onMessage(PeerConnection from, PeerMessage message);

    /** Called when a connection to the peer opens, or when the peer announces a new incarnation on it. */
    default void onConnected(Incarnation peer, FailureDomain domain) {}

    /** Called when a connection to the peer closes; another one may still be open. */
    default void onDisconnected(Incarnation peer) {}
}
