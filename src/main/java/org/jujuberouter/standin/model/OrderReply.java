package org.jujuberouter.standin.model;

/** The reply to an order. */
public sealed interface OrderReply {
    /** The order was accepted. */
    record Accepted() implements OrderReply {}

    /**
     * The order carried an old fencing number.
     *
     * @param highest the highest number seen
     */
    record Stale(long highest) implements OrderReply {}
}
