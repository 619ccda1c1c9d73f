package org.jujuberouter.orders;

import org.jujuberouter.id.ServiceName;

/**
 * The latest information about an engine, from a report to this instance or a peer's heartbeat.
 *
 * @param service the service that the engine belongs to
 * @param reported the configuration that the engine reports
 * @param inService whether it accepts requests: it reports and is not cold, drained or leaving
 * @param idle whether it has no requests, by its own list and by its owner's permits
 * @param busy whether it is loading or in a cold start
 * @param boot increases with every start of the engine
 * @param requestedNanos time at which the report was requested
 */
public record EngineView(
        ServiceName service,
        EngineConfig reported,
        boolean inService,
        boolean idle,
        boolean busy,
        long boot,
        long requestedNanos) {}
