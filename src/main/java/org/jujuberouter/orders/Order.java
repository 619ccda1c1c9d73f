package org.jujuberouter.orders;

import org.jujuberouter.id.EndpointId;

/**
 * An order to an engine.
 *
 * @param endpoint the engine
 * @param kind the kind of change
 * @param target the configuration that the engine is to take on
 * @param fence the fencing number of the owner that sends the order
 * @param sendBeforeNanos time from which the order must not be sent any more
 */
public record Order(EndpointId endpoint, Kind kind, EngineConfig target, long fence, long sendBeforeNanos) {
    /** The kind of change that an order requests. */
    public enum Kind {
        LOAD_MODEL,
        LOAD_ADAPTER,
        CHANGE_ROLE
    }
}
