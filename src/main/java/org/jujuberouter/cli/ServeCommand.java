package org.jujuberouter.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.jujuberouter.gateway.GatewayDaemon;
import org.jujuberouter.gateway.GatewayOptions;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.UsersPlatform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one instance on the users' platform until it is told to stop. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one instance on the users' platform.",
            "SIGTERM stops it gracefully; SIGHUP makes it check its settings file."
        },
        exitCodeList = {"0: stopped as told", "1: the settings cannot be read or an address cannot be bound"})
public final class ServeCommand implements Callable<Integer> {
    private static final System.Logger LOG = System.getLogger(ServeCommand.class.getName());

    @Option(
            names = "--node-file",
            description = "The platform's settings file (default: $" + NodeFile.PATH_VARIABLE + ", else "
                    + NodeFile.DEFAULT_PATH + ").")
    private Path nodeFile;

    @Option(names = "--log-level", description = "error, warning, info or debug (default info).")
    private LogSetup.LogLevel logLevel = LogSetup.LogLevel.INFO;

    @Override
    public Integer call() throws IOException, InterruptedException {
        LogSetup.install(logLevel);
        Path file = nodeFile != null
                ? nodeFile
                : Path.of(System.getenv().getOrDefault(NodeFile.PATH_VARIABLE, NodeFile.DEFAULT_PATH));
        GatewayOptions options;
        try {
            options = NodeFile.read(file);
        } catch (IOException e) {
            System.err.println("cannot read the settings: " + e.getMessage());
            return 1;
        }
        // Signals may come as soon as callers can connect, so they are caught before.
        HangupSignal.onHangup(() -> readAgain(file, options));
        CompletableFuture<GatewayDaemon> daemon = new CompletableFuture<>();
        StandinCommand.onStop(() -> daemon.get().close());
        try {
            daemon.complete(GatewayDaemon.start(options, UsersPlatform.create()));
        } catch (IOException e) {
            System.err.println("cannot start: " + e.getMessage());
            // An ordinary exit would wait for the daemon that did not start.
            Runtime.getRuntime().halt(1);
        }
        new CountDownLatch(1).await();
        return 0;
    }

    /** Checks the settings that are there now; addresses and bounds are those of the start until the next one. */
    private static void readAgain(Path file, GatewayOptions inForce) {
        try {
            boolean changed = !NodeFile.read(file).equals(inForce);
            LOG.log(
                    System.Logger.Level.INFO,
                    "[state] settings read again, in force from the next start",
                    Map.entry("changed", changed));
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "[state] settings cannot be read; those of the start stay in force",
                    Map.entry("reason", String.valueOf(e.getMessage())));
        }
    }
}
