package org.jujuberouter.orders;

import org.jujuberouter.id.EndpointId;

/**
 * One order to an engine.
 *
 * @param endpoint the engine
 * @param kind what to do
 * @param target what the engine should become
 * @param fence the fencing number of the owner that gives the order
 * @param sendBeforeNanos the time after which the order may no longer be sent
 */
public record Order(EndpointId endpoint, Kind kind, EngineConfig target, long fence, long sendBeforeNanos) {
    /** What an order changes. */
    public enum Kind {
        LOAD_MODEL,
        LOAD_ADAPTER,
        CHANGE_ROLE
    }
}
