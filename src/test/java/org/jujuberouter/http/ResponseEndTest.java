package org.jujuberouter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses that count as complete although the server broke them off, and the reverse. */
class ResponseEndTest {
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** More than the buffers of a connection hold, so that a part of the request is unsent when the server ends it. */
    private static final int LONG_REQUEST_BYTES = 16 << 20;

    private static final String UNFRAMED = "HTTP/1.1 200 OK$Connection: close$$";
    private static final String FRAMED = "HTTP/1.1 200 OK$Content-Length: 5$$";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** How the server ends the connection after it has written its response. */
    private enum Ending {
        RESET,
        CLOSE,
        /** Ends its output, and resets the connection while the request is being sent. */
        CLOSE_THEN_RESET,
        /** Leaves the connection open. */
        STAY_OPEN
    }

    /** Records the body of a complete response, or how it failed. */
    private static final class Recorder implements ResponseListener {
        private final StringBuilder body = new StringBuilder();
        private final CompletableFuture<String> outcome = new CompletableFuture<>();

        @Override
        public boolean onHead(HttpResponse head) {
            return true;
        }

        @Override
        public void onBody(ByteBuf chunk) {
            body.append(chunk.toString(StandardCharsets.US_ASCII));
        }

        @Override
        public void onEnd() {
            outcome.complete("complete " + body);
        }

        @Override
        public void onFailure(CallFailure f) {
            outcome.complete(f.kind().name());
        }
    }

    private String outcome(int requestBytes, String response, Ending ending) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> answer(server, response, ending));
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[requestBytes]));
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, requestBytes);
            Recorder recorder = new Recorder();
            ClientCall.send(
                    group.next(),
                    new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                    CONNECT_TIMEOUT_MS,
                    request,
                    recorder);
            return recorder.outcome.get(5, TimeUnit.SECONDS);
        }
    }

    /** Writes the response after a first part of the request; {@code $} stands for a line end. */
    private static void answer(ServerSocket server, String response, Ending ending) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().readNBytes(16);
            socket.getOutputStream().write(response.replace("$", "\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            if (ending == Ending.RESET) {
                Thread.sleep(100);
                socket.setSoLinger(true, 0);
                return;
            }
            if (ending == Ending.CLOSE_THEN_RESET) {
                socket.shutdownOutput();
                Thread.sleep(100);
                socket.setSoLinger(true, 0);
                return;
            }
            if (ending == Ending.CLOSE) {
                socket.shutdownOutput();
            }
            // Closing a socket with unread bytes would reset the connection.
            socket.getInputStream().skip(Long.MAX_VALUE);
        } catch (IOException e) {
            // The client closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The failed write of the rest of the request hid the reset, and half a response passed for a whole one. */
    @Test
    void doesNotCompleteAResponseWithoutALengthThatIsResetWhileTheRequestIsBeingSent() throws Exception {
        for (int i = 0; i < 10; i++) {
            assertEquals("RESET", outcome(LONG_REQUEST_BYTES, UNFRAMED + "half", Ending.RESET));
        }
    }

    @Test
    void doesNotCompleteAResponseWithoutALengthThatIsResetAfterTheRequestWasSent() throws Exception {
        assertEquals("RESET", outcome(100, UNFRAMED + "half", Ending.RESET));
    }

    /** A server may answer before it has read the request, and end the response in order. */
    @ParameterizedTest
    @ValueSource(ints = {100, LONG_REQUEST_BYTES})
    void completesAResponseWithoutALengthThatEndsWithItsConnection(int requestBytes) throws Exception {
        assertEquals("complete whole", outcome(requestBytes, UNFRAMED + "whole", Ending.CLOSE));
    }

    /** A server may reject a long request unread; its answer must not be lost because the request cannot be written. */
    @ParameterizedTest
    @ValueSource(ints = {100, LONG_REQUEST_BYTES})
    void completesAResponseWithALengthWhoseConnectionIsResetAfterwards(int requestBytes) throws Exception {
        assertEquals("complete whole", outcome(requestBytes, FRAMED + "whole", Ending.RESET));
    }

    /** An engine in trouble answered with status 000: it was skipped like an informational head, and its call waited. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "007", "099", "101", "600", "999", "2000"})
    void failsAResponseWhoseStatusIsNoneOfTheProtocol(String status) throws Exception {
        for (String head : new String[] {"$Content-Length: 5$$", "$$", "$Transfer-Encoding: chunked$$5$whole$0$$"}) {
            String response = "HTTP/1.1 " + status + " Unknown" + head + "whole";
            assertEquals("MALFORMED", outcome(100, response, Ending.STAY_OPEN), response);
            assertEquals("MALFORMED", outcome(100, response, Ending.RESET), response);
        }
    }

    @Test
    void skipsInformationalResponses() throws Exception {
        String response = "HTTP/1.1 100 Continue$$HTTP/1.1 103 Early Hints$$" + FRAMED + "whole";
        assertEquals("complete whole", outcome(100, response, Ending.CLOSE));
    }

    /** The caller got the part that had been sent as a complete answer. */
    @Test
    void doesNotCompleteAnEarlyResponseThatEndsWhileTheRequestIsBeingSentAndIsResetThen() throws Exception {
        for (int i = 0; i < 10; i++) {
            assertEquals("RESET", outcome(LONG_REQUEST_BYTES, UNFRAMED + "half", Ending.CLOSE_THEN_RESET));
        }
    }

    /** A head that ends early must not look like that of a response without a body. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK$",
                "HTTP/1.1 200 OK$Content-Len",
                "HTTP/1.1 200 OK$Content-Length: 0",
                "HTTP/1.1 200 OK$Content-Length: 0$",
                "HTTP/1.1 200 OK$Content-Length: 5$$who",
                "HTTP/1.1 200 OK$Transfer-Encoding: chunked$$5$whole$",
                "HTTP/1.1 200 OK$Transfer-Encoding: chunked$$5$whole$0$"
            })
    void doesNotCompleteAResponseThatIsClosedInItsHeadOrBeforeItsLength(String response) throws Exception {
        for (Ending ending : List.of(Ending.RESET, Ending.CLOSE)) {
            String outcome = outcome(100, response, ending);
            assertEquals(false, outcome.startsWith("complete"), outcome + " after " + ending);
        }
    }
}
