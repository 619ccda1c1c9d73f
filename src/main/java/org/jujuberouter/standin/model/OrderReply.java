package org.jujuberouter.standin.model;

/** The reply to an order. */
public sealed interface OrderReply {
    /** The order was accepted. */
    record Accepted() implements OrderReply {}

    /**
     * The order was rejected, because its fencing number is stale.
     *
     * @param highest the highest fencing number that the engine accepted
     */
    record Stale(long highest) implements OrderReply {}
}
