package org.jujuberouter.cli;

import java.util.logging.LogManager;

/**
 * Keeps the handlers while the process stops.
 *
 * <p>The log manager of the JDK removes all handlers in a shutdown hook of its own, which loses what a graceful stop logs.
 */
public final class LastingLogManager extends LogManager {
    /** Called by the JDK, which needs a public constructor. */
    public LastingLogManager() {
        super();
    }

    @Override
    public void reset() {
        // The handlers stay until the process ends.
    }
}
