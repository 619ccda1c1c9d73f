package org.jujuberouter.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jujuberouter.gateway.GatewayDaemon;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.StandinSite;
import org.jujuberouter.telemetry.AsyncLogHandler;
import picocli.CommandLine.Command;

/**
 * Training run for an ahead-of-time cache: serves calls between stand-ins in one process, so that the build can record
 * which classes an instance loads and which call sites it links.
 */
@Command(
        name = "train",
        hidden = true,
        description = "Serves some calls between stand-ins and exits; the build records its classes in an archive.")
public final class TrainCommand implements Callable<Integer> {
    private static final int ROUNDS = 40;

    @Override
    public Integer call() throws IOException, InterruptedException {
        SighupHandler.catchSignal();
        GatewayDaemon.useJdkLogging();
        AsyncLogHandler log = LogSetup.installJson(LogSetup.LogLevel.INFO, "train");
        Path firstNodeFile = Files.createTempFile("node", ".json");
        Path secondNodeFile = Files.createTempFile("node", ".json");
        try (StandinSite site = StandinSite.start(3, 2, 1);
                HttpClient client = HttpClient.newHttpClient()) {
            InetSocketAddress callerAddress = site.writeNodeFile(firstNodeFile, "a");
            site.writeNodeFile(secondNodeFile, "b");
            int metricsPort = StandinSite.freePort();
            GatewayDaemon firstDaemon = GatewayDaemon.start(
                    NodeFile.read(firstNodeFile).withMetricsPort(metricsPort), HttpPlatformAdapter.create());
            GatewayDaemon secondDaemon =
                    GatewayDaemon.start(NodeFile.read(secondNodeFile), HttpPlatformAdapter.create());
            URI base = URI.create("http://127.0.0.1:" + callerAddress.getPort());
            firstDaemon.addLogMetrics(log.rateLimiter());
            Thread.sleep(500);
            for (int i = 0; i < ROUNDS; i++) {
                for (String path : new String[] {"/chat/stream", "/post/x", "/read/x", "/none/x"}) {
                    send(client, base.resolve(path), i + path);
                }
            }
            send(client, URI.create("http://127.0.0.1:" + metricsPort + "/metrics"), "metrics");
            send(client, readinessAddress(firstNodeFile), "readiness");
            firstDaemon.close();
            secondDaemon.close();
        } finally {
            log.close();
            Files.delete(firstNodeFile);
            Files.delete(secondNodeFile);
        }
        return 0;
    }

    private static URI readinessAddress(Path nodeFile) throws IOException {
        InetSocketAddress address = NodeFile.read(nodeFile).readiness();
        return URI.create("http://127.0.0.1:" + address.getPort() + "/");
    }

    private static void send(HttpClient client, URI uri, String id) throws IOException, InterruptedException {
        HttpRequest request = StandinSite.request(uri, id)
                .POST(HttpRequest.BodyPublishers.ofString("x".repeat(1_000)))
                .build();
        client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
