package lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine or a plain service: serves requests, writes its entry to the store and can crash and start again. */
final class Engine implements AutoCloseable {
    /** What an engine does with a request that it runs. */
    interface Work {
        void run(Engine engine, Http request, OutputStream out) throws IOException, InterruptedException;
    }

    private static final long HEARTBEAT_MS = 1_200;

    final String id;
    final String service;
    final String zone;
    private final int slots;
    private final Record record;
    private final Store store;
    private final Work work;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket listener;
    private volatile boolean registered;
    private volatile boolean closed;
    private volatile long born;
    private long sequence;

    Engine(Record record, Store store, String id, String service, String zone, int slots, Work work)
            throws IOException {
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        try (ServerSocket free = new ServerSocket(0, 50, Site.LOOPBACK)) {
            port = free.getLocalPort();
        }
    }

    void start() throws IOException {
        born = System.currentTimeMillis();
        ServerSocket l = new ServerSocket();
        l.setReuseAddress(true);
        l.bind(new InetSocketAddress(Site.LOOPBACK, port), 200);
        listener = l;
        registered = true;
        Thread.ofVirtual().start(() -> accept(l));
        Thread.ofVirtual().start(() -> beat(l));
    }

    /** Ends as a process that is killed: all connections are reset and new ones refused, and no entry is written. */
    void crash(long downMs) {
        try {
            listener.close();
            for (Socket s : open) {
                s.setSoLinger(true, 0);
                s.close();
            }
        } catch (IOException e) {
            record.line("engine %s: %s", id, e);
        }
        record.line("engine %s crashes", id);
        Thread.ofVirtual().start(() -> {
            try {
                Thread.sleep(downMs);
                if (!closed) {
                    start();
                    record.line("engine %s is back", id);
                }
            } catch (IOException | InterruptedException e) {
                record.line("engine %s does not come back: %s", id, e);
            }
        });
    }

    /** Removes its entry and goes on serving, as an engine that leaves without reporting that it drains. */
    void leave() {
        registered = false;
        store.deleteAsEngine("servers/" + id);
    }

    /** An entry as another writer may leave it: without Version, ColdRemainingMs and Sequence. */
    String entryWithMissingFields(int otherSlots) {
        return Json.object()
                .put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", zone)
                .put("Slots", otherSlots)
                .put("State", "ready")
                .toString();
    }

    void writeEntry() {
        ObjectNode e = Json.object();
        e.put("Service", service)
                .put("Address", "127.0.0.1:" + port)
                .put("Zone", zone)
                .put("Version", "v1")
                .put("Slots", slots)
                .put("State", "ready")
                .put("ColdRemainingMs", 0)
                .put("born", born)
                .put("Sequence", ++sequence);
        store.putAsEngine("servers/" + id, e.toString());
    }

    private void beat(ServerSocket run) {
        try {
            while (!closed && listener == run && !run.isClosed()) {
                if (registered) {
                    writeEntry();
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(ServerSocket l) {
        while (!l.isClosed()) {
            try {
                Socket s = l.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Http h = Http.readHead(in); h != null; h = Http.readHead(in)) {
                h.readBody(in, false);
                if (!h.complete) {
                    return;
                }
                String expected = h.header("X-Jujuberouter-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    write(out, 421, "X-Jujuberouter-Instance-Id: " + id + "\r\n", "");
                } else if (h.target().equals("/health")) {
                    write(out, 200, "X-Jujuberouter-Instance-Id: " + id + "\r\n", "");
                } else if (h.target().equals("/v1/report")) {
                    write(out, 200, "Content-Type: application/json\r\n", "{\"Phase\":\"unified\",\"Tickets\":[]}");
                } else if (h.target().equals("/v1/order")) {
                    write(out, 200, "Content-Type: application/json\r\n", "{\"Unallocated\":0}");
                } else {
                    work.run(this, h, out);
                }
            }
        } catch (IOException e) {
            // The caller closed the connection, or this engine crashed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(s);
        }
    }

    static void write(OutputStream out, int status, String headers, String body) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String identity(Http request, String signature) {
        return "X-Jujuberouter-Attempt-Id: " + request.header("X-Jujuberouter-Attempt-Id") + "\r\n"
                + "X-Jujuberouter-Response-Signature: " + signature + "\r\n";
    }

    @Override
    public void close() throws IOException {
        closed = true;
        if (listener != null) {
            listener.close();
        }
        for (Socket s : open) {
            s.close();
        }
    }
}
