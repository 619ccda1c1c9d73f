package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * How one child of a supervisor is started, restarted and stopped.
 *
 * @param name the name in the log
 * @param restart when it is restarted
 * @param stopTimeout how long it has to end by itself when it is stopped
 * @param starter starts it
 */
public record ChildSpec(String name, Restart restart, Duration stopTimeout, Starter starter) {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /** When a child that has ended is restarted. */
    public enum Restart {
        /** Always. */
        PERMANENT,
        /** Only when it ended with an exception. */
        TRANSIENT
    }

    /** The work of a child that has a thread of its own. */
    @FunctionalInterface
    public interface Worker {
        /** Works until the signal asks to stop. */
        void run(StopSignal stop) throws Exception;
    }

    /** Opens a child that has no thread of its own, such as a server. */
    @FunctionalInterface
    public interface Opener {
        /** Returns the open resource; closing it stops the child. */
        AutoCloseable open() throws Exception;
    }

    /** Starts a child; returns when it is running. */
    @FunctionalInterface
    interface Starter {
        RunningChild start(String name) throws Exception;
    }

    /** Returns a permanent child that runs the work on a virtual thread and is interrupted only after its timeout. */
    public static ChildSpec worker(String name, Worker work) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> WorkerChild.start(n, work, false));
    }

    /** Returns a permanent child like a worker that is interrupted at once when stopped, such as one that waits for input. */
    public static ChildSpec interruptibleWorker(String name, Worker work) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> WorkerChild.start(n, work, true));
    }

    /** Returns a permanent child that is open until it is stopped. */
    public static ChildSpec resource(String name, Opener opener) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> new ResourceChild(n, opener.open()));
    }

    /** Returns a permanent child that is a supervisor itself; it is made anew at each start. */
    public static ChildSpec supervisor(String name, Supplier<Supervisor> maker) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> {
            Supervisor made = maker.get();
            made.start();
            return made;
        });
    }

    /** Returns the same child, restarted only when it ended with an exception. */
    public ChildSpec restartedOnFailureOnly() {
        return new ChildSpec(name, Restart.TRANSIENT, stopTimeout, starter);
    }

    /** Returns the same child with another time to end. */
    public ChildSpec withStopTimeout(Duration timeout) {
        return new ChildSpec(name, restart, timeout, starter);
    }
}
