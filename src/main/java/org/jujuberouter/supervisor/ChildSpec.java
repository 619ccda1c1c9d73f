package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Specification of how a child of a supervisor is started, restarted and stopped.
 *
 * @param name the name of the child in log entries
 * @param restart when the child is restarted
 * @param stopTimeout how long the child may take to stop before it is interrupted
 * @param starter starts the child
 */
public record ChildSpec(String name, Restart restart, Duration stopTimeout, Starter starter) {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    /** When a terminated child is restarted. */
    public enum Restart {
        /** Always restarted. */
        PERMANENT,
        /** Restarted only if it terminated with an exception. */
        TRANSIENT
    }

    /** Body of a child that runs on its own thread. */
    @FunctionalInterface
    public interface Worker {
        /** Runs until a stop is requested. */
        void run(StopSignal stop) throws Exception;
    }

    /** Opens the resource of a child without its own thread, such as a server. */
    @FunctionalInterface
    public interface Opener {
        /** Returns the opened resource; closing it stops the child. */
        AutoCloseable open() throws Exception;
    }

    /** Starts a child and waits until it is running. */
    @FunctionalInterface
    interface Starter {
        RunningChild start(String name) throws Exception;
    }

    /**
     * Returns a permanent child that runs a worker on a virtual thread and is interrupted only after the stop timeout.
     */
    public static ChildSpec worker(String name, Worker worker) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> WorkerChild.start(n, worker, false));
    }

    /**
     * Returns a permanent worker that is interrupted as soon as a stop is requested, such as one that blocks on input.
     */
    public static ChildSpec interruptibleWorker(String name, Worker worker) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> WorkerChild.start(n, worker, true));
    }

    /** Returns a permanent child that opens a resource and closes it to stop. */
    public static ChildSpec resource(String name, Opener opener) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> new ResourceChild(n, opener.open()));
    }

    /** Returns a permanent child that is itself a supervisor; each start creates a new one. */
    public static ChildSpec supervisor(String name, Supplier<Supervisor> factory) {
        return new ChildSpec(name, Restart.PERMANENT, STOP_TIMEOUT, n -> {
            Supervisor supervisor = factory.get();
            supervisor.start();
            return supervisor;
        });
    }

    /** Returns a copy that is restarted only if it terminated with an exception. */
    public ChildSpec restartedOnFailureOnly() {
        return new ChildSpec(name, Restart.TRANSIENT, stopTimeout, starter);
    }

    /** Returns a copy with the given stop timeout. */
    public ChildSpec withStopTimeout(Duration timeout) {
        return new ChildSpec(name, restart, timeout, starter);
    }
}
