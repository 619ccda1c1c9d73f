package org.jujuberouter.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.jujuberouter.gateway.GatewayDaemon;
import org.jujuberouter.gateway.GatewayOptions;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.telemetry.AsyncLogHandler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one instance on the users' platform until it is told to stop. */
@Command(
        name = ServeCommand.NAME,
        mixinStandardHelpOptions = true,
        description = {
            "Runs one instance on the users' platform.",
            "SIGTERM stops it gracefully; SIGHUP makes it check its settings file."
        },
        exitCodeList = {"0: stopped as told", "1: the settings cannot be read or an address cannot be bound"})
public final class ServeCommand implements Callable<Integer> {
    static final String NAME = "serve";

    private static final String METRICS_PORT_VARIABLE = "JUJUBEROUTER_METRICS_PORT";
    private static final int LAST_PORT = 65_535;
    private static final System.Logger LOG = System.getLogger(ServeCommand.class.getName());

    @Option(
            names = "--node-file",
            description = "The platform's settings file (default: $" + NodeFile.PATH_VARIABLE + ", else "
                    + NodeFile.DEFAULT_PATH + ").")
    private Path nodeFile;

    @Option(
            names = "--metrics-port",
            description =
                    "Port for metrics at the callers' address (default: $" + METRICS_PORT_VARIABLE + "; 0: none).")
    private String metricsPort;

    @Option(names = "--log-level", description = "error, warning, info or debug (default info).")
    private LogSetup.LogLevel logLevel = LogSetup.LogLevel.INFO;

    /** Serves with the settings of the environment, and returns the exit code. */
    static int runWithDefaults() {
        try {
            return new ServeCommand().call();
        } catch (IOException e) {
            System.err.println("cannot serve: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path file = nodeFile != null
                ? nodeFile
                : Path.of(System.getenv().getOrDefault(NodeFile.PATH_VARIABLE, NodeFile.DEFAULT_PATH));
        GatewayOptions options;
        try {
            options = withMetrics(NodeFile.read(file));
        } catch (IOException e) {
            System.err.println("cannot read the settings: " + e.getMessage());
            return 1;
        }
        AsyncLogHandler log = LogSetup.installJson(logLevel, options.instance().value());
        LOG.log(
                System.Logger.Level.INFO,
                "[state] starting",
                Map.entry("callers", options.callers()),
                Map.entry("metrics", options.metrics().map(Object::toString).orElse("none")),
                Map.entry("store", options.store()),
                Map.entry("bounds", options.bounds()));
        // Signals may come as soon as callers can connect, so they are caught before.
        HangupSignal.onHangup(() -> readAgain(file, options));
        CompletableFuture<GatewayDaemon> daemon = new CompletableFuture<>();
        StandinCommand.onStop(() -> {
            daemon.get().close();
            log.close();
        });
        try {
            GatewayDaemon started = GatewayDaemon.start(options, HttpPlatformAdapter.create());
            started.addLogMetrics(log.rateLimiter());
            daemon.complete(started);
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "[state] cannot start",
                    Map.entry("reason", String.valueOf(e.getMessage())));
            log.close();
            // An ordinary exit would wait for the daemon that did not start.
            Runtime.getRuntime().halt(1);
        }
        new CountDownLatch(1).await();
        return 0;
    }

    private GatewayOptions withMetrics(GatewayOptions read) throws IOException {
        String text = metricsPort != null ? metricsPort : System.getenv().getOrDefault(METRICS_PORT_VARIABLE, "0");
        if (!text.matches("[0-9]{1,5}") || Integer.parseInt(text) > LAST_PORT) {
            throw new IOException("the port for metrics, \"" + text + "\", is not a number from 0 to " + LAST_PORT);
        }
        int port = Integer.parseInt(text);
        return port == 0 ? read : read.withMetricsPort(port);
    }

    /** Checks the settings that are there now; addresses and bounds are those of the start until the next one. */
    private void readAgain(Path file, GatewayOptions inForce) {
        try {
            boolean changed = !withMetrics(NodeFile.read(file)).equals(inForce);
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
