package org.jujuberouter.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jujuberouter.standin.ListServer;
import org.jujuberouter.standin.StoreServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-ins of the outside systems, for trials on one machine. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandinCommand.Store.class,
            StandinCommand.Members.class,
            StandinEndpointCommands.Engine.class,
            StandinEndpointCommands.Plain.class
        },
        description = "Runs a stand-in of an outside system on loopback, for trials and tests.")
public final class StandinCommand extends GroupCommand {
    /** Keeps a stand-in running until the process is told to end. */
    static void awaitStop(AutoCloseable server) throws InterruptedException {
        onStop(server);
        new CountDownLatch(1).await();
    }

    /** Closes the server when the process is told to end, and ends it with code 0. */
    static void onStop(AutoCloseable server) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                server.close();
            } catch (Exception e) {
                System.err.println("the stand-in did not close: " + e.getMessage());
            }
            // The JVM would end with 143 after SIGTERM, which supervisors take for a failure.
            Runtime.getRuntime().halt(0);
        }));
    }

    /** Runs the stand-in of the platform store. */
    @Command(
            name = "store",
            mixinStandardHelpOptions = true,
            description = "Runs a store in memory. Faults are set with PUT /fault on the control port.")
    static final class Store implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "8500", description = "Port of the store (default ${DEFAULT-VALUE}).")
        private int port;

        @Option(
                names = "--control-port",
                defaultValue = "8501",
                description = "Port for faults and counts (default ${DEFAULT-VALUE}).")
        private int controlPort;

        @Override
        public Integer call() throws IOException, InterruptedException {
            StoreServer server = StoreServer.start(port, controlPort);
            System.out.println("store at " + server.address() + ", control at " + server.controlAddress());
            awaitStop(server);
            return 0;
        }
    }

    /** Runs the stand-in of the platform's list. */
    @Command(
            name = "list",
            mixinStandardHelpOptions = true,
            description = "Runs a list of instances and endpoints that answers with a lag.")
    static final class Members implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "8510", description = "Port of the list (default ${DEFAULT-VALUE}).")
        private int port;

        @Option(
                names = "--lag-ms",
                defaultValue = "2000",
                description = "Age of the state that is answered, in milliseconds (default ${DEFAULT-VALUE}).")
        private long lagMs;

        @Override
        public Integer call() throws IOException, InterruptedException {
            ListServer server = ListServer.start(port, Duration.ofMillis(lagMs));
            System.out.println("list at " + server.address() + ", lag " + lagMs + " ms");
            awaitStop(server);
            return 0;
        }
    }
}
