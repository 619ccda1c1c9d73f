package org.jujuberouter.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jujuberouter.standin.ListServer;
import org.jujuberouter.standin.StoreServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-ins for the external systems, for trials on one machine. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandinCommand.StoreStandinCommand.class,
            StandinCommand.ListStandinCommand.class,
            EndpointStandinCommands.EngineStandinCommand.class,
            EndpointStandinCommands.PlainStandinCommand.class
        },
        description = "Runs a stand-in for an external system on loopback, for trials and tests.")
public final class StandinCommand extends GroupCommand {
    /** Blocks while the server runs; on a termination signal, closes the server and exits with code 0. */
    static void awaitShutdown(AutoCloseable server) throws InterruptedException {
        closeOnShutdown(server);
        new CountDownLatch(1).await();
    }

    /** Registers a shutdown hook that closes the server and exits with code 0. */
    static void closeOnShutdown(AutoCloseable server) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                server.close();
            } catch (Exception e) {
                System.err.println("cannot shut down cleanly: " + e.getMessage());
            }
            // After SIGTERM the JVM would exit with code 143, which supervisors treat as a failure.
            Runtime.getRuntime().halt(0);
        }));
    }

    /** Runs a stand-in for the platform store. */
    @Command(
            name = "store",
            mixinStandardHelpOptions = true,
            description = "Runs an in-memory store. Faults are set with PUT /fault on the control port.")
    static final class StoreStandinCommand implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "8500", description = "Port of the store (default ${DEFAULT-VALUE}).")
        private int port;

        @Option(
                names = "--control-port",
                defaultValue = "8501",
                description = "Port for injecting faults and reading call counts (default ${DEFAULT-VALUE}).")
        private int controlPort;

        @Override
        public Integer call() throws IOException, InterruptedException {
            StoreServer server = StoreServer.start(port, controlPort);
            System.out.println("store at " + server.address() + ", control at " + server.controlAddress());
            awaitShutdown(server);
            return 0;
        }
    }

    /** Runs a stand-in for the platform's list. */
    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Runs a list of instances and endpoints that reports past state.")
    static final class ListStandinCommand implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "8510", description = "Port of the list (default ${DEFAULT-VALUE}).")
        private int port;

        @Option(
                names = "--lag-ms",
                defaultValue = "2000",
                description = "Age of the reported state, in milliseconds (default ${DEFAULT-VALUE}).")
        private long lagMs;

        @Override
        public Integer call() throws IOException, InterruptedException {
            ListServer server = ListServer.start(port, Duration.ofMillis(lagMs));
            System.out.println("list at " + server.address() + ", lag " + lagMs + " ms");
            awaitShutdown(server);
            return 0;
        }
    }
}
