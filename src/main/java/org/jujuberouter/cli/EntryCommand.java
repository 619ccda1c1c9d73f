package org.jujuberouter.cli;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.jujuberouter.entry.EntryDaemon;
import org.jujuberouter.entry.EntryOptions;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one entry instance until it is stopped. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one entry instance. SIGTERM stops it gracefully: new work is refused as not-run, work in progress"
                    + " finishes, and owned endpoints are handed over.",
            "Each flag can be set by a variable: --drain-timeout-ms by JUJUBEROUTER_DRAIN_TIMEOUT_MS, and so on."
        },
        exitCodeList = {
            "0: stopped on request",
            "2: invalid flags or variables",
            "1: it could not start, or a component failed too often"
        })
public final class EntryCommand implements Callable<Integer> {
    private static final int DEFAULT_MAX_BODY_BYTES = 16 << 20;
    private static final int MAX_BODY_BYTES_LIMIT = 256 << 20;
    private static final long DEFAULT_DRAIN_TIMEOUT_MS = 900_000;
    private static final long MAX_DRAIN_TIMEOUT_MS = 3_600_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--instance", description = "Id of this instance; letters, digits, dot, dash. Required.")
    private String instance;

    @Option(names = "--domain", description = "Failure domain of this instance. Required.")
    private String domain;

    @Option(names = "--listen", description = "IP address and port for callers. Required.")
    private String listen;

    @Option(names = "--peer-listen", description = "IP address and port for other instances. Required.")
    private String peerListen;

    @Option(names = "--store", description = "Address of the platform store, such as http://10.0.0.9:8500. Required.")
    private String store;

    @Option(names = "--list", description = "Address of the platform's list. Required.")
    private String list;

    @Option(names = "--max-body-bytes", description = "Largest request body in bytes (default 16777216).")
    private String maxBodyBytes;

    @Option(
            names = "--drain-timeout-ms",
            description = "Longest wait for work in progress at shutdown, in milliseconds (default 900000).")
    private String drainTimeoutMs;

    @Option(names = "--access-log", description = "Write one line of JSON per request to standard output.")
    private boolean accessLog;

    @Option(names = "--log-level", description = "error, warning, info or debug (default info).")
    private String logLevel;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Flags flags = Flags.of(spec.commandLine());
        String instanceId = flags.text("instance");
        String failureDomain = flags.text("domain");
        String listenAddress = flags.hostAndPort("listen");
        String peerListenAddress = flags.hostAndPort("peer-listen");
        URI storeAddress = flags.address("store");
        URI listAddress = flags.address("list");
        long bodyLimitBytes = flags.integer("max-body-bytes", DEFAULT_MAX_BODY_BYTES, 1024, MAX_BODY_BYTES_LIMIT);
        long drainMs = flags.integer("drain-timeout-ms", DEFAULT_DRAIN_TIMEOUT_MS, 0, MAX_DRAIN_TIMEOUT_MS);
        LogSetup.LogLevel level = flags.choice("log-level", LogSetup.LogLevel.INFO);
        flags.check(spec.commandLine());
        LogSetup.install(level);
        EntryDaemon daemon = EntryDaemon.start(new EntryOptions(
                InstanceId.of(instanceId),
                FailureDomain.of(failureDomain),
                EntryOptions.parseAddress(listenAddress),
                EntryOptions.parseAddress(peerListenAddress),
                storeAddress,
                listAddress,
                (int) bodyLimitBytes,
                Duration.ofMillis(drainMs),
                accessLog ? System.out::println : _ -> {}));
        System.out.println("entry at http:/" + daemon.address() + ", peers at " + daemon.peerAddress());
        daemon.ended().exceptionally(e -> {
            System.err.println("the instance is stopping: " + e.getMessage());
            System.exit(CommandLine.ExitCode.SOFTWARE);
            return null;
        });
        StandinCommand.awaitShutdown(daemon);
        return 0;
    }
}
