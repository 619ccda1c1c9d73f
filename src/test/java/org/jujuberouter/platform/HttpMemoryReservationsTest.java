package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.gateway.MemoryReservations;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against engines whose answers to orders and queries fill the memory of the instance. */
class HttpMemoryReservationsTest {
    /** Half of what was kept of one answer before; the rest is what the buffers of the connection hold. */
    private static final long MAX_SENT_BYTES = 4 << 20;

    private static final int CHUNK_BYTES = 16 << 10;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MultiThreadIoEventLoopGroup untimedGroup = new UntimedEventLoops();
    private final EventLoop untimed = untimedGroup.next();

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        untimedGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** An event loop on which no time-out of a call expires. */
    private static final class UntimedEventLoops extends MultiThreadIoEventLoopGroup {
        UntimedEventLoops() {
            super(1, NioIoHandler.newFactory());
        }

        @Override
        protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... arguments) {
            return new SingleThreadIoEventLoop(this, executor, factory) {
                @Override
                public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
                    return super.schedule(task, 1, TimeUnit.DAYS);
                }
            };
        }
    }

    private static Endpoint endpoint(ServerSocket server) {
        return new Endpoint(
                EndpointId.of("e"),
                ServiceName.of("assistant"),
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                FailureDomain.of("north"),
                8,
                false,
                0,
                0);
    }

    /** An engine sent bytes without end, and each answer could take 8 MB of the heap. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 409 Conflict\r\n\r\n["})
    void readsOnlyASmallPartOfAnAnswerWithoutEnd(String start) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Long> sent = CompletableFuture.supplyAsync(() -> flood(server, start));
            CompletableFuture<MemoryReservations.Outcome> outcome = new CompletableFuture<>();
            loop.execute(() ->
                    HttpMemoryReservations.on(loop).reserve(endpoint(server), "r", 1_000, 2_800, outcome::complete));
            assertEquals(MemoryReservations.Outcome.UNKNOWN, outcome.get(5, TimeUnit.SECONDS));
            long bytes = sent.get(5, TimeUnit.SECONDS);
            assertTrue(bytes < MAX_SENT_BYTES, "the engine could send " + bytes + " bytes");
        }
    }

    /**
     * Tests the size of the report alone. The first call in a JVM takes longer than its time-out where processors are
     * busy, since it loads the classes of the client, so timers do not run.
     */
    @Test
    void readsAReportOfAllReservationsThatAnEngineAllows() throws Exception {
        StringBuilder tickets = new StringBuilder();
        for (int i = 0; i < 64; i++) {
            tickets.append("{\"Id\":\"").append("x".repeat(200)).append(i).append("\",\"State\":\"held\"},");
        }
        String body = "{\"Tickets\":[" + tickets + "{\"Id\":\"r\",\"State\":\"used\"}]}";
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    socket.getInputStream().read();
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                    socket.getInputStream().skip(Long.MAX_VALUE);
                } catch (IOException e) {
                    // The client closed the connection.
                    return;
                }
            });
            CompletableFuture<MemoryReservations.Use> use = new CompletableFuture<>();
            untimed.execute(() -> HttpMemoryReservations.on(untimed).queryUse(endpoint(server), "r", use::complete));
            assertEquals(MemoryReservations.Use.IN_USE, use.get(5, TimeUnit.SECONDS));
        }
    }

    /** Sends until the client closes the connection; returns the number of bytes written. */
    private static long flood(ServerSocket server, String start) {
        long bytes = 0;
        try (Socket socket = server.accept()) {
            socket.setSendBufferSize(CHUNK_BYTES);
            socket.getInputStream().read();
            write(socket, start);
            OutputStream out = socket.getOutputStream();
            byte[] chunk = " ".repeat(CHUNK_BYTES).getBytes(StandardCharsets.US_ASCII);
            while (true) {
                out.write(chunk);
                bytes += chunk.length;
            }
        } catch (IOException e) {
            return bytes;
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }
}
