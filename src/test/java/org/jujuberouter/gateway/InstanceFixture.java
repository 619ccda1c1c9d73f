package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jujuberouter.platform.HttpPlatformAdapter;
import org.jujuberouter.platform.NodeFile;
import org.jujuberouter.platform.standin.StandinSite;

/** Starts instances before the stand-ins of a site and sends them requests. */
final class InstanceFixture implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final StandinSite site;
    private final Path files;
    private final HttpClient client;
    private int warmUps;

    private InstanceFixture(StandinSite site, Path files) {
        // Read only once, when the first client is created.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        this.site = site;
        this.files = files;
        this.client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    }

    /** Returns a fixture that writes the node files of instances into the directory. */
    static InstanceFixture before(StandinSite site, Path files) {
        return new InstanceFixture(site, files);
    }

    /** An instance and the address at which callers reach it. */
    record Instance(GatewayDaemon daemon, URI base) {}

    /** Starts an instance and waits until it serves calls. */
    Instance start(String name) throws IOException, InterruptedException {
        Path file = files.resolve(name + ".json");
        URI base =
                URI.create("http://127.0.0.1:" + site.writeNodeFile(file, name).getPort());
        Instance instance = new Instance(GatewayDaemon.start(NodeFile.read(file), HttpPlatformAdapter.create()), base);
        await(() -> send(base, "/read/x", "warm-up-" + name + "-" + warmUps++)
                        .join()
                        .statusCode()
                == 200);
        return instance;
    }

    /** Sends a request with the given headers in addition to the usual ones, as name and value in turn. */
    CompletableFuture<HttpResponse<String>> send(URI base, String path, String id, String... headers) {
        HttpRequest.Builder request = StandinSite.request(base.resolve(path), id)
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString("the body of " + id));
        for (int i = 0; i < headers.length; i += 2) {
            request.setHeader(headers[i], headers[i + 1]);
        }
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "the condition was not met within 10 s");
            Thread.sleep(20);
        }
    }

    @Override
    public void close() {
        client.close();
    }
}
