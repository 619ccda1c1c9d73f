package org.jujuberouter.orders;

import org.jujuberouter.id.ServiceName;

/**
 * The latest that this instance knows of one engine, from its own questions or a peer's heartbeat.
 *
 * @param service the service that the engine belongs to
 * @param reported what the engine says that it has loaded, and its role
 * @param inService whether it takes work now: reporting, not cold, drained or leaving
 * @param idle whether neither its list of requests nor its owner's permits show work
 * @param busy whether it is loading or in cold start
 * @param boot increases with every start of the engine
 * @param askedNanos when the report was asked for
 */
public record EngineView(
        ServiceName service,
        EngineConfig reported,
        boolean inService,
        boolean idle,
        boolean busy,
        long boot,
        long askedNanos) {}
