package org.jujuberouter.gateway;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against instances that do not know the work of a customer at their peers. */
class SharedWorkTest {
    private final List<GatewayDaemon> daemons = new ArrayList<>();

    @TempDir
    private Path files;

    @Test
    void countsTheWorkThatAPeerPlacesForACustomer() throws Exception {
        Path file = files.resolve("idle.json");
        int port = StandinSite.freePort();
        try (StandinSite site = StandinSite.start(1, 1, 20);
                InstanceFixture fixture = InstanceFixture.before(site, files);
                HttpClient client = HttpClient.newHttpClient()) {
            site.writeNodeFile(file, "idle");
            daemons.add(GatewayDaemon.start(NodeFile.read(file).withMetricsPort(port), HttpPlatformAdapter.create()));
            InstanceFixture.Instance busy = fixture.start("busy");
            daemons.add(busy.daemon());
            InstanceFixture.await(() -> {
                fixture.send(busy.base(), "/read/x", "call-" + System.nanoTime())
                        .join();
                return metrics(client, port).contains("jujuberouter_customer_share_used{customer=\"first\"} 100");
            });
            daemons.forEach(GatewayDaemon::close);
        }
    }

    private static String metrics(HttpClient client, int port) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics"))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .join()
                .body();
    }
}
