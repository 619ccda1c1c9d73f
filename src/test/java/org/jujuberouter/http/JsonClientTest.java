package org.jujuberouter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that is taken for that to another call on the same connection. */
class JsonClientTest {
    private static final long TIMEOUT_MS = 2_000;
    private static final int MAX_RESPONSE_BYTES = 1_024;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Answers each request with its path, and the first one with a second copy in the same write. */
    private static void serve(ServerSocket server) {
        boolean first = true;
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                String line = in.readLine();
                while (line != null) {
                    if (line.startsWith("GET ")) {
                        String body = "{\"path\":\"" + line.split(" ")[1] + "\"}";
                        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                        socket.getOutputStream()
                                .write((first ? response.repeat(2) : response).getBytes(StandardCharsets.US_ASCII));
                        first = false;
                    }
                    line = in.readLine();
                }
            } catch (IOException e) {
                // The client closed the connection, or the test has ended.
                continue;
            }
        }
    }

    /** A call that is still in transit when it times out must not be executed after its failure was reported. */
    @Test
    void resetsAConnectionOnWhichACallHasTimedOut() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<JsonReply> reply = new CompletableFuture<>();
            loop.execute(() -> JsonClient.to(
                            loop,
                            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                            MAX_RESPONSE_BYTES)
                    .call("GET", "/slow", null, 100, reply::complete));
            try (Socket socket = server.accept()) {
                assertInstanceOf(JsonReply.NoResponse.class, reply.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
                socket.setSoTimeout((int) TIMEOUT_MS);
                assertThrows(
                        SocketException.class, () -> socket.getInputStream().readAllBytes());
            }
        }
    }

    @Test
    void takesNoSecondCopyOfAResponseForThatToTheNextCall() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(server));
            JsonClient client = JsonClient.to(
                    loop, new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), MAX_RESPONSE_BYTES);
            CompletableFuture<String> one = new CompletableFuture<>();
            CompletableFuture<String> two = new CompletableFuture<>();
            loop.execute(() -> {
                client.call("GET", "/one", null, TIMEOUT_MS, reply -> one.complete(path(reply)));
                client.call("GET", "/two", null, TIMEOUT_MS, reply -> two.complete(path(reply)));
            });
            assertEquals("/one", one.get(5, TimeUnit.SECONDS));
            assertEquals("/two", two.get(5, TimeUnit.SECONDS));
        }
    }

    /** An order that an engine in trouble answered with status 000 counted as carried out. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "101", "600"})
    void takesNoStatusOutsideTheProtocolForAResponse(String status) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            CompletableFuture<JsonReply> reply = new CompletableFuture<>();
            loop.execute(() -> JsonClient.to(
                            loop,
                            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                            MAX_RESPONSE_BYTES)
                    .call("GET", "/one", null, TIMEOUT_MS, reply::complete));
            try (Socket socket = server.accept()) {
                String response = "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 2\r\n\r\n{}";
                socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                JsonReply received = reply.get(5, TimeUnit.SECONDS);
                assertEquals(
                        "invalid status " + Integer.parseInt(status),
                        assertInstanceOf(JsonReply.NoResponse.class, received).reason());
            }
        }
    }

    private static String path(JsonReply reply) {
        return switch (reply) {
            case JsonReply.Response r -> r.body().path("path").asText();
            case JsonReply.NoResponse n -> n.reason();
            case JsonReply.TooLarge t -> "more than " + t.limitBytes() + " bytes";
        };
    }
}
