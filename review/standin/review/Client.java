package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends one request on a new connection and reads its answer. */
final class Client {
    private static final AtomicInteger IDS = new AtomicInteger();

    private Client() {}

    /** A request and its answer. */
    record Result(String id, long sentMs, Http.Message answer) {
        String summary() {
            return id + ": "
                    + (answer.head() == null ? "no answer" : "status " + answer.status())
                    + ", " + answer.body().length + " bytes, "
                    + (answer.complete() ? "complete (" : "not complete (") + answer.end() + ")";
        }
    }

    static String newId() {
        return String.format("%016x", 0x9c41d07b00000000L + IDS.incrementAndGet());
    }

    static Result send(
            Record record, InetSocketAddress to, String method, String path, String key, byte[] body, long deadlineMs) {
        return send(record, to, method, path, key, "", body, deadlineMs, 0, 16_384, n -> {});
    }

    static Result send(
            Record record,
            InetSocketAddress to,
            String method,
            String path,
            String key,
            String moreFields,
            byte[] body,
            long deadlineMs,
            int receiveBufferBytes,
            int pieceBytes,
            Http.Pace pace) {
        String id = newId();
        long sentMs = record.ms();
        record.line("client sends " + id + " " + method + " " + path + (key.isEmpty() ? "" : " with key " + key) + ", "
                + body.length + " bytes");
        Result result;
        try (Socket s = new Socket()) {
            if (receiveBufferBytes > 0) {
                s.setReceiveBufferSize(receiveBufferBytes);
            }
            s.setTcpNoDelay(true);
            s.connect(to, 1_000);
            s.setSoTimeout((int) deadlineMs + 1_000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\n" + Engine.ATTEMPT + ": " + id
                    + "\r\nX-Jujuberouter-Deadline-Ms: " + deadlineMs + "\r\n"
                    + (key.isEmpty() ? "" : "Authorization: Bearer " + key + "\r\n")
                    + moreFields
                    + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
            s.getOutputStream().write(Http.bytes(head));
            s.getOutputStream().write(body);
            s.getOutputStream().flush();
            result = new Result(id, sentMs, Http.readResponse(Http.buffered(s.getInputStream()), pieceBytes, pace));
        } catch (IOException e) {
            result = new Result(id, sentMs, new Http.Message(null, new byte[0], false, "failed: " + e.getMessage()));
        }
        record.line("client has " + result.summary());
        return result;
    }
}
