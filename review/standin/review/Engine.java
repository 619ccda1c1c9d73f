package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of a plain service: checks the expected instance, runs the request, answers with its signature. */
class Engine {
    static final String ATTEMPT = "X-Jujuberouter-Attempt-Id";

    final String id;
    final String service;
    final String zone;
    final Record record;
    final List<String> runs = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Store store;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private volatile boolean registered = true;
    private int sequence;

    Engine(String id, String service, String zone, int receiveBufferBytes, Store store, Record record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
        this.record = record;
        server = new ServerSocket();
        if (receiveBufferBytes > 0) {
            server.setReceiveBufferSize(receiveBufferBytes);
        }
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::heartbeat);
    }

    /** Writes its entry each 1.2 s, as HeartbeatMs of the settings says. */
    private void heartbeat() {
        while (writeEntry()) {
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized boolean writeEntry() {
        if (registered) {
            ObjectNode entry = Site.JSON.createObjectNode();
            entry.put("Service", service)
                    .put("Address", "127.0.0.1:" + server.getLocalPort())
                    .put("Zone", zone)
                    .put("Version", "v1")
                    .put("Slots", slots())
                    .put("State", "ready")
                    .put("ColdRemainingMs", 0)
                    .put("Sequence", ++sequence)
                    .put("born", born);
            store.put("servers/" + id, entry.toString());
        }
        return registered;
    }

    /** Removes its entry from the store; it goes on serving. */
    synchronized void deregister() {
        registered = false;
        store.remove("servers/" + id);
    }

    /** Exits: no more connections, and those that are open end. */
    void exit() {
        try {
            server.close();
            for (Socket s : open) {
                s.close();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket s = server.accept();
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
            InputStream in = Http.buffered(s.getInputStream());
            while (true) {
                Http.Head head = Http.readHead(in);
                if (head == null) {
                    return;
                }
                String expected = head.field("X-Jujuberouter-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    s.getOutputStream().write(Http.bytes("HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                runs.add(head.field(ATTEMPT));
                record.line("engine " + id + " runs " + head.field(ATTEMPT));
                answer(s, in, head);
            }
        } catch (IOException e) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(s);
        }
    }

    /** Reads the body and answers; overridden by engines that behave otherwise. */
    void answer(Socket s, InputStream in, Http.Head head) throws IOException, InterruptedException {
        readBody(in, head);
        Thread.sleep(workMs());
        respond(s.getOutputStream(), head, Http.bytes("answer of " + id + " to " + head.field(ATTEMPT)));
    }

    int slots() {
        return 6;
    }

    /** Returns the time that the work of a request takes; the sheet's mean for a posting is 85.7 ms. */
    long workMs() {
        return 86;
    }

    final byte[] readBody(InputStream in, Http.Head head) throws IOException {
        String length = head.field("content-length");
        return length.isEmpty() ? new byte[0] : in.readNBytes(Integer.parseInt(length));
    }

    final String successHead(Http.Head request) {
        return "HTTP/1.1 200 OK\r\n" + ATTEMPT + ": " + request.field(ATTEMPT)
                + "\r\nX-Jujuberouter-Response-Signature: 3e1b.07.5a2.600.0." + id + "\r\n";
    }

    final void respond(OutputStream out, Http.Head request, byte[] body) throws IOException {
        out.write(Http.bytes(successHead(request) + "Content-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
    }
}
