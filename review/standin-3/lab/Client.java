package lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client: each request on a new connection, with an attempt id of its own. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** The answer of one attempt; a status of 0 stands for a connection that ended without one. */
    record Answer(String id, int status, boolean complete, String signature, String body, long sentMs, long endMs) {}

    private Client() {}

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    static Answer send(
            Record record,
            InetSocketAddress to,
            String id,
            String method,
            String path,
            String key,
            String moreHeaders,
            String body,
            long deadlineMs) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Site.HOST
                + "\r\nX-Jujuberouter-Attempt-Id: " + id + "\r\nX-Jujuberouter-Deadline-Ms: " + deadlineMs + "\r\n");
        if (!key.isEmpty()) {
            head.append("Authorization: Bearer ").append(key).append("\r\n");
        }
        head.append(moreHeaders);
        if (!body.isEmpty()) {
            head.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        head.append("\r\n").append(body);
        long sent = record.nowMs();
        try (Socket s = new Socket()) {
            s.setTcpNoDelay(true);
            s.connect(to, 1_000);
            s.setSoTimeout((int) deadlineMs + 500);
            s.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(s.getInputStream());
            Http h = Http.readHead(in);
            if (h == null) {
                return new Answer(id, 0, false, "", "", sent, record.nowMs());
            }
            h.readBody(in, true);
            return new Answer(
                    id,
                    h.status(),
                    h.complete,
                    h.header("X-Jujuberouter-Response-Signature"),
                    h.text(),
                    sent,
                    record.nowMs());
        } catch (IOException e) {
            return new Answer(id, 0, false, "", "", sent, record.nowMs());
        }
    }
}
