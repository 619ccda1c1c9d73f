package org.jujuberouter.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.jujuberouter.dispatch.DomainMode;
import org.jujuberouter.gateway.GatewayDaemon;
import org.jujuberouter.gateway.GatewayOptions;
import org.jujuberouter.gateway.OptionalFeatures;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.telemetry.AsyncLogHandler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one instance on the users' platform until it is stopped. */
@Command(
        name = ServeCommand.NAME,
        mixinStandardHelpOptions = true,
        description = {
            "Runs one instance on the users' platform.",
            "SIGTERM stops it gracefully. SIGHUP makes it read and check its settings file."
        },
        exitCodeList = {
            "0: stopped on request",
            "1: the settings cannot be read or an address cannot be bound",
            "3, 70: the heap or the event loop is lost"
        })
public final class ServeCommand implements Callable<Integer> {
    static final String NAME = "serve";

    /** Environment variable that holds the mode of placement across failure domains: auto, home or any. */
    private static final String DOMAINS_VARIABLE = "JUJUBEROUTER_DOMAINS";

    /** Environment variable that turns fair sharing among customers on or off. */
    private static final String RESERVATIONS_VARIABLE = "JUJUBEROUTER_RESERVATIONS";

    private static final String FAIR_SHARING_VARIABLE = "JUJUBEROUTER_FAIR_SHARING";

    /** Environment variable that lets the leader order engines or not. */
    private static final String AUTOSCALING_VARIABLE = "JUJUBEROUTER_AUTOSCALING";

    /** Environment variable that lets an instance that lags reject calls and stop reporting ready, or not. */
    private static final String OVERLOAD_VARIABLE = "JUJUBEROUTER_OVERLOAD";

    private static final String METRICS_PORT_VARIABLE = "JUJUBEROUTER_METRICS_PORT";
    private static final int MAX_PORT = 65_535;
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

    /** Runs with the settings from the environment and returns the exit code. */
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
        GatewayDaemon.useJdkLogging();
        GatewayOptions options;
        try {
            options = applyEnvironment(NodeFile.read(file));
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
                Map.entry("domains", options.features().domainMode()),
                Map.entry("fair_sharing", options.features().fairSharing()),
                Map.entry("autoscaling", options.features().autoscaling()),
                Map.entry("overload", options.features().overload()),
                Map.entry("reservations", options.features().reservations()),
                Map.entry("bounds", options.bounds()));
        FatalExit exit = FatalExit.install(log);
        // Signals may arrive as soon as callers can connect, so the handlers are installed first.
        SighupHandler.setAction(() -> rereadSettings(file, options));
        if (SighupHandler.isIgnored()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "[state] SIGHUP is ignored since the start, as by nohup; settings are not read again");
        }
        CompletableFuture<GatewayDaemon> daemon = new CompletableFuture<>();
        StandinCommand.closeOnShutdown(() -> {
            daemon.get().close();
            log.close();
        });
        try {
            GatewayDaemon startedDaemon = GatewayDaemon.start(options, HttpPlatformAdapter.create());
            startedDaemon.addLogMetrics(log.rateLimiter());
            daemon.complete(startedDaemon);
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "[state] cannot start",
                    Map.entry("reason", String.valueOf(e.getMessage())));
            log.close();
            // System.exit would run the shutdown hook, which would wait forever for the daemon that failed to start.
            Runtime.getRuntime().halt(1);
        }
        exit.logAndHaltOnFailure();
        return FatalExit.EXIT_CODE;
    }

    private GatewayOptions applyEnvironment(GatewayOptions nodeOptions) throws IOException {
        try {
            DomainMode mode = DomainMode.of(System.getenv().getOrDefault(DOMAINS_VARIABLE, "auto"));
            OptionalFeatures features = new OptionalFeatures(
                    mode,
                    isOn(FAIR_SHARING_VARIABLE),
                    isOn(AUTOSCALING_VARIABLE),
                    isOn(OVERLOAD_VARIABLE),
                    isOn(RESERVATIONS_VARIABLE));
            return applyMetricsPort(nodeOptions.withFeatures(features));
        } catch (IllegalArgumentException e) {
            throw new IOException(DOMAINS_VARIABLE + ": " + e.getMessage(), e);
        }
    }

    private static boolean isOn(String variable) throws IOException {
        String value = System.getenv().getOrDefault(variable, "off");
        if (!value.equals("on") && !value.equals("off")) {
            throw new IOException(variable + ": \"" + value + "\" is neither on nor off");
        }
        return value.equals("on");
    }

    private GatewayOptions applyMetricsPort(GatewayOptions nodeOptions) throws IOException {
        String text = metricsPort != null ? metricsPort : System.getenv().getOrDefault(METRICS_PORT_VARIABLE, "0");
        if (!text.matches("[0-9]{1,5}") || Integer.parseInt(text) > MAX_PORT) {
            throw new IOException("the port for metrics, \"" + text + "\", is not a number from 0 to " + MAX_PORT);
        }
        int port = Integer.parseInt(text);
        return port == 0 ? nodeOptions : nodeOptions.withMetricsPort(port);
    }

    /** Reads and checks the settings file again; changed addresses and bounds take effect only at the next start. */
    private void rereadSettings(Path file, GatewayOptions activeOptions) {
        try {
            boolean changed = !applyEnvironment(NodeFile.read(file)).equals(activeOptions);
            LOG.log(
                    System.Logger.Level.INFO,
                    "[state] settings read again, in force from the next start",
                    Map.entry("changed", changed));
        } catch (IOException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "[state] settings cannot be read; keeping those read at startup",
                    Map.entry("reason", String.valueOf(e.getMessage())));
        }
    }
}
