package lab;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What sound engines do. */
final class Work {
    private Work() {}

    /** When each request began to run, by its id. */
    static final Map<String, Long> RUN = new ConcurrentHashMap<>();

    static void ran(Engine engine, Record record, Http h) {
        String id = h.header("X-Jujuberouter-Attempt-Id");
        RUN.put(id, record.line("engine %s runs %s %s tenant=%s", engine.id, id, h.target(),
                h.header("X-Jujuberouter-Tenant")));
    }

    /** A plain service: 40 ms of work and 100 bytes. */
    static Engine.Work plain(Record record) {
        return (engine, h, out) -> {
            ran(engine, record, h);
            Thread.sleep(40);
            Engine.write(out, 200, Engine.identity(h, "s." + engine.id), "x".repeat(100));
        };
    }

    /** A stream of 8 events, 40 ms apart. */
    static Engine.Work stream(Record record) {
        return (engine, h, out) -> {
            ran(engine, record, h);
            Thread.sleep(30);
            beginStream(engine, h, out);
            for (int i = 1; i <= 8; i++) {
                event(out, i);
                Thread.sleep(40);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        };
    }

    static void beginStream(Engine engine, Http h, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + Engine.identity(h, "s." + engine.id)
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void event(OutputStream out, int id) throws IOException {
        String e = "id: " + id + "\ndata: piece " + id + "\n\n";
        out.write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
