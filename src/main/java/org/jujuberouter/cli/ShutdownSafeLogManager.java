package org.jujuberouter.cli;

import java.util.logging.LogManager;

/**
 * Log manager that keeps its handlers during shutdown.
 *
 * <p>The JDK's log manager removes all handlers in a shutdown hook of its own, which would discard the log records of a
 * graceful shutdown.
 */
public final class ShutdownSafeLogManager extends LogManager {
    /** Called by the JDK, which requires a public constructor. */
    public ShutdownSafeLogManager() {
        super();
    }

    @Override
    public void reset() {
        // Handlers stay installed until the process exits.
    }
}
