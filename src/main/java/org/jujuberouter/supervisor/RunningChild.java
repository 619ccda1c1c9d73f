package org.jujuberouter.supervisor;

import java.util.concurrent.CompletableFuture;

/** A child between its start and its end. */
interface RunningChild {
    /** Returns the end of the child: normal, or with the exception that ended it. */
    CompletableFuture<Void> ended();

    /** Asks the child to end; returns at once. */
    void requestStop();

    /** Ends the child by force as far as possible; returns at once. */
    void kill();
}
