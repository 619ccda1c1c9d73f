package org.jujuberouter.supervisor;

import java.util.concurrent.CompletableFuture;

/** A running child of a supervisor. */
interface RunningChild {
    /** Returns a future that completes when the child terminates, exceptionally if it failed. */
    CompletableFuture<Void> ended();

    /** Requests the child to stop; does not block. */
    void requestStop();

    /** Interrupts the child, as far as possible; does not block. */
    void kill();
}
