package org.jujuberouter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against servers that send bytes without end that are no response: the call must end with bounded memory. */
class ClientCallTest {
    private static final int REPEATS_PER_WRITE = 512;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final String OTHER_ID = "other";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Records the end of a call and rejects responses to another call. */
    private static final class Recorder implements ResponseListener {
        private final CompletableFuture<CallFailure.Kind> failure = new CompletableFuture<>();

        @Override
        public boolean onHead(HttpResponse head) {
            return !OTHER_ID.equals(head.headers().get("Id"));
        }

        @Override
        public void onBody(ByteBuf chunk) {}

        @Override
        public void onEnd() {
            failure.completeExceptionally(new AssertionError("the response counts as complete"));
        }

        @Override
        public void onFailure(CallFailure f) {
            failure.complete(f.kind());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a status line       | HTTP/1.1 200            | x",
                "a header            | HTTP/1.1 200 OK$A:      | x",
                "many headers        | HTTP/1.1 200 OK$        | A: x$",
                "informational heads | HTTP/1.1 100 Continue$$ | HTTP/1.1 102 Processing$$",
                "other responses     | HTTP/1.1 100 Continue$$ | HTTP/1.1 200 OK$Id: other$Content-Length: 0$$",
                "another body        | HTTP/1.1 200 OK$Id: other$Content-Length: 9000000000$$ | x",
                "a chunk size        | HTTP/1.1 200 OK$Transfer-Encoding: chunked$$1;a=     | x",
                "trailers            | HTTP/1.1 200 OK$Transfer-Encoding: chunked$$0$       | A: x$",
                "no protocol at all  | x                       | x"
            })
    void endsTheCallWhenAServerSendsWithoutEnd(String what, String start, String repeated) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Long> sent = CompletableFuture.supplyAsync(() -> flood(server, start, repeated));
            Recorder recorder = new Recorder();
            ClientCall.send(
                    group.next(),
                    new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                    CONNECT_TIMEOUT_MS,
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                    recorder);
            assertEquals(CallFailure.Kind.MALFORMED, recorder.failure.get(5, TimeUnit.SECONDS), what);
            long bytes = sent.get(5, TimeUnit.SECONDS);
            assertTrue(bytes < 64 << 20, what + ": the server was read for " + bytes + " bytes");
        }
    }

    /** A refused connection proves that the network path to the host works, in contrast to other connect failures. */
    @Test
    void tellsARefusedConnectionFromAnUnreachableHost() throws Exception {
        ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        closed.close();
        Recorder recorder = new Recorder();
        ClientCall.send(
                group.next(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), closed.getLocalPort()),
                CONNECT_TIMEOUT_MS,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                recorder);
        assertEquals(CallFailure.Kind.REFUSED, recorder.failure.get(5, TimeUnit.SECONDS));
    }

    /** Sends until the client closes the connection; returns the number of bytes written. */
    private static long flood(ServerSocket server, String start, String repeated) {
        long bytes = 0;
        try (Socket socket = server.accept()) {
            OutputStream out = socket.getOutputStream();
            out.write(wire(start));
            byte[] chunk = wire(repeated.repeat(REPEATS_PER_WRITE));
            while (true) {
                out.write(chunk);
                bytes += chunk.length;
            }
        } catch (IOException e) {
            return bytes;
        }
    }

    private static byte[] wire(String text) {
        return text.replace("$", "\r\n").getBytes(StandardCharsets.US_ASCII);
    }
}
