package org.jujuberouter.platform.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.jujuberouter.misc.Json;

/** An in-memory stand-in for the platform's API, which only the leader may call. */
public final class CloudStandin implements AutoCloseable {
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final HttpServer server;
    private final List<Call> calls = new ArrayList<>();
    private long highestToken;
    private boolean available = true;

    private CloudStandin(HttpServer server) {
        this.server = server;
    }

    /**
     * A call and the status of its response.
     *
     * @param holder name of the instance that made it
     */
    public record Call(String path, String holder, long token, JsonNode body, int status) {}

    /** Starts an API on a free loopback port. */
    public static CloudStandin start() throws IOException {
        CloudStandin cloud =
                new CloudStandin(HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0));
        cloud.server.createContext("/", cloud::serve);
        cloud.server.setExecutor(cloud.executor);
        cloud.server.start();
        return cloud;
    }

    /** Returns the listen address. */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Sets whether calls are carried out; otherwise they are answered with 503. */
    public synchronized void setAvailable(boolean isAvailable) {
        available = isAvailable;
    }

    /** Refuses tokens below the given one from now on. */
    public synchronized void refuseBelow(long token) {
        highestToken = Math.max(highestToken, token);
    }

    /** Returns all calls in the order of their arrival. */
    public synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    private void serve(HttpExchange exchange) throws IOException {
        try (exchange) {
            JsonNode body = Json.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
            exchange.sendResponseHeaders(
                    record(
                            exchange.getRequestURI().getPath(),
                            exchange.getRequestHeaders().getFirst("X-Jujuberouter-Lease-Holder"),
                            Long.parseLong(exchange.getRequestHeaders().getFirst("X-Jujuberouter-Fencing-Token")),
                            body),
                    -1);
        }
    }

    private synchronized int record(String path, String holder, long token, JsonNode body) {
        int status = available ? token < highestToken ? 409 : 200 : 503;
        if (status == 200) {
            highestToken = token;
        }
        calls.add(new Call(path, holder, token, body, status));
        return status;
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }
}
