package org.jujuberouter.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.jujuberouter.standin.EngineServer;
import org.jujuberouter.standin.PlainServer;
import org.jujuberouter.standin.model.EngineSettings;
import org.jujuberouter.standin.model.LoadedModel;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Subcommands that run stand-ins for endpoints. */
final class EndpointStandinCommands {
    private EndpointStandinCommands() {}

    /** Runs a stand-in for a model engine. */
    @Command(
            name = "engine",
            mixinStandardHelpOptions = true,
            description =
                    "Runs an emulated model engine. Faults are set with PUT /fault?kind=crash|cold|leaving|silent.")
    static final class EngineStandinCommand implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "0", description = "Port; 0 takes a free one (default).")
        private int port;

        @Option(names = "--model", defaultValue = "jujube-1", description = "Model (default ${DEFAULT-VALUE}).")
        private String model;

        @Option(
                names = "--kv-tokens",
                defaultValue = "450000",
                description = "KV cache capacity in tokens (default ${DEFAULT-VALUE}).")
        private long kvTokens;

        @Option(
                names = "--cold",
                description = "Start cold: for a while, steps are slow and more than a few requests crash the engine.")
        private boolean cold;

        @Option(
                names = "--restart-delay-ms",
                defaultValue = "2000",
                description = "Delay of a restart after a crash, in milliseconds (default ${DEFAULT-VALUE}).")
        private long restartDelayMs;

        @Option(
                names = "--slots",
                defaultValue = "128",
                description = "Requests that run concurrently (default ${DEFAULT-VALUE}).")
        private int slots;

        @Option(
                names = "--step-micros",
                defaultValue = "13000",
                description = "Time of a step with an empty batch, in microseconds (default ${DEFAULT-VALUE}).")
        private long stepMicros;

        @Option(
                names = "--linger-ms",
                defaultValue = "30000",
                description = "How long a completed request is remembered, in milliseconds (default ${DEFAULT-VALUE}).")
        private long lingerMs;

        @Override
        public Integer call() throws IOException, InterruptedException {
            EngineSettings defaults = EngineSettings.defaults();
            EngineSettings settings = EngineSettings.builder()
                    .kvTokens(kvTokens)
                    .maxBatch(slots)
                    .stepTime(Duration.ofNanos(stepMicros * 1000), defaults.stepPerSequence())
                    .linger(Duration.ofMillis(lingerMs))
                    .build();
            EngineServer server = EngineServer.start(
                    port, settings, LoadedModel.of(model, "", ""), Duration.ofMillis(restartDelayMs), cold);
            System.out.println("engine at " + server.address());
            StandinCommand.awaitShutdown(server);
            return 0;
        }
    }

    /** Runs a stand-in for a plain service. */
    @Command(
            name = "plain",
            mixinStandardHelpOptions = true,
            description = "Runs a plain service that counts the executions per idempotency key.")
    static final class PlainStandinCommand implements Callable<Integer> {
        @Option(names = "--port", defaultValue = "0", description = "Port; 0 takes a free one (default).")
        private int port;

        @Option(
                names = "--delay-ms",
                defaultValue = "5",
                description = "Duration of a call, in milliseconds (default ${DEFAULT-VALUE}).")
        private long delayMs;

        @Override
        public Integer call() throws IOException, InterruptedException {
            PlainServer server =
                    PlainServer.start(new InetSocketAddress("127.0.0.1", port), Duration.ofMillis(delayMs));
            System.out.println("plain service at " + server.address());
            StandinCommand.awaitShutdown(server);
            return 0;
        }
    }
}
