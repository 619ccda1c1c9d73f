package org.jujuberouter.capacity;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.jujuberouter.misc.Json;
import org.jujuberouter.store.ListedMember;

/**
 * Serves the platform's member list and any number of idle engines on one port, with pre-encoded responses.
 *
 * <p>Runs on its own platform threads, so that its CPU time can be separated from that of the instances.
 */
final class StaticPlatformServer implements AutoCloseable {
    static final String THREAD_NAME_PREFIX = "static-platform-";

    private static final int THREADS = 8;
    private static final byte[] EMPTY_REQUEST_LIST = "{\"requests\":[]}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] LOAD_REPORT =
            ("{\"boot\":1,\"cold\":false,\"leaving\":false,\"model\":\"tray-70b\",\"slots\":32,"
                            + "\"cold_slots\":2,\"kv_limit\":1800000,\"kv_tokens\":0,\"running\":0,\"waiting\":0,"
                            + "\"pending_prefill_tokens\":{\"0\":0,\"1\":0,\"2\":0}}")
                    .getBytes(StandardCharsets.UTF_8);

    private final HttpServer server;
    private final ExecutorService threads;
    private final AtomicLong memberListBytesSent = new AtomicLong();
    private final AtomicLong engineReportBytesSent = new AtomicLong();
    private volatile byte[] memberList = "[]".getBytes(StandardCharsets.UTF_8);

    private StaticPlatformServer(HttpServer server, ExecutorService threads) {
        this.server = server;
        this.threads = threads;
    }

    static StaticPlatformServer start() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        AtomicLong threadNumber = new AtomicLong();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS, task -> {
            Thread thread = new Thread(task, THREAD_NAME_PREFIX + threadNumber.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        });
        StaticPlatformServer platform = new StaticPlatformServer(server, threads);
        server.setExecutor(threads);
        server.createContext("/v1/members", e -> respond(e, platform.memberList, platform.memberListBytesSent));
        server.createContext("/load", e -> respond(e, LOAD_REPORT, platform.engineReportBytesSent));
        server.createContext("/requests", e -> respond(e, EMPTY_REQUEST_LIST, platform.engineReportBytesSent));
        server.start();
        return platform;
    }

    private static void respond(HttpExchange exchange, byte[] body, AtomicLong byteCount) throws IOException {
        try (exchange) {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            byteCount.addAndGet(body.length);
        }
    }

    /** Returns the host and port that the member list and all engines share. */
    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    URI uri() {
        return URI.create("http://" + address());
    }

    void setMembers(List<ListedMember> members) throws IOException {
        memberList = Json.MAPPER.writeValueAsBytes(members);
    }

    int memberListSize() {
        return memberList.length;
    }

    /** Returns the number of member list bytes sent, without HTTP headers. */
    long memberListBytesSent() {
        return memberListBytesSent.get();
    }

    /** Returns the number of bytes of load reports and request lists sent, without HTTP headers. */
    long engineReportBytesSent() {
        return engineReportBytesSent.get();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
