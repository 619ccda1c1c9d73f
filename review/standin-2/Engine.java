import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for an engine or for the server of a plain service. It runs as many requests as it has slots, queues as many
 * again, and turns away the others with 503 as not run. A stream's head is sent when the request leaves the queue, its
 * first event when the prompt has been read.
 */
final class Engine {
    /** What a case changes of the sound behaviour. */
    interface Behaviour {
        /** Is called for each request that was meant for this engine; true if the behaviour has answered it. */
        default boolean arrives(Engine engine, Call call) throws IOException {
            return false;
        }

        /** Is called after an event was sent. */
        default void afterEvent(Engine engine, Call call, int event) throws IOException {}
    }

    /** One request. */
    static final class Call {
        final Message head;
        final byte[] body;
        final OutputStream out;
        final String attempt;
        final long arrived = System.nanoTime();
        volatile long memory;
        volatile boolean preempted;
        volatile boolean callerLeft;

        Call(Message head, byte[] body, OutputStream out) {
            this.head = head;
            this.body = body;
            this.out = out;
            this.attempt = head.header("X-Jujuberouter-Attempt-Id");
        }

        String path() {
            return head.start.split(" ")[1];
        }
    }

    final String name;
    final String service;
    final String zone;
    final int slots;
    final int events;
    final int eventGapMs;
    final AtomicInteger active = new AtomicInteger();
    final Map<String, Call> running = new ConcurrentHashMap<>();
    private final Kit kit;
    private final int port;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> tickets = new ConcurrentHashMap<>();
    private Semaphore places;
    private volatile long passEnds;
    private volatile long memoryTotal = Long.MAX_VALUE;
    private volatile boolean dropsRequests = true;
    private volatile ServerSocket listener;
    private volatile Behaviour behaviour = new Behaviour() {};
    private volatile String id;
    private volatile long born;
    private volatile boolean reachesStore = true;
    private volatile boolean registered;
    private volatile long lastBeat;
    private int starts;
    private long sequence;

    Engine(Kit kit, String name, String service, String zone, int slots, int events, int eventGapMs) throws IOException {
        this.kit = kit;
        this.name = name;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.events = events;
        this.eventGapMs = eventGapMs;
        this.port = Kit.freePort();
        start();
        Thread.ofVirtual().start(this::beat);
    }

    void behave(Behaviour newBehaviour) {
        behaviour = newBehaviour;
    }

    /** Sets the memory in tokens; when it runs out, the newest request is preempted and read again later. */
    void limitMemory(long tokens) {
        memoryTotal = tokens;
    }

    /** Sets whether a request is dropped when its connection closes, as most engines do. */
    void dropRequests(boolean drops) {
        dropsRequests = drops;
    }

    String id() {
        return id;
    }

    /** Starts a new run under a new id. */
    synchronized void start() throws IOException {
        id = name + "-" + ++starts;
        born = System.currentTimeMillis();
        places = new Semaphore(slots, true);
        active.set(0);
        tickets.clear();
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        listener = socket;
        Thread.ofVirtual().start(() -> accept(socket));
        lastBeat = 0;
        kit.record("engine " + id + " starts");
    }

    /** Ends as a process that is killed does: connections are reset, and nobody listens. */
    synchronized void crash() {
        if (listener == null) {
            return;
        }
        kit.record("engine " + id + " crashes with " + running.size() + " requests");
        close(listener);
        listener = null;
        for (Socket s : sockets) {
            try {
                s.setSoLinger(true, 0);
            } catch (IOException e) {
                // The connection has ended already.
            }
            close(s);
        }
        running.clear();
    }

    boolean isUp() {
        return listener != null;
    }

    /** Sets whether the engine reaches the store, which removes its entry after three intervals of silence. */
    void reachStore(boolean reaches) {
        kit.record("engine " + id + (reaches ? " reaches the store again" : " is cut off from the store"));
        reachesStore = reaches;
    }

    private void beat() {
        String listed = "";
        while (true) {
            long now = System.nanoTime();
            if (isUp() && reachesStore && (lastBeat == 0 || now - lastBeat > Kit.HEARTBEAT_MS * 1_000_000L)) {
                lastBeat = now;
                if (!listed.isEmpty() && !listed.equals(id)) {
                    kit.store.remove("servers/" + listed);
                }
                listed = id;
                register();
            } else if (!listed.isEmpty() && now - lastBeat > 3 * Kit.HEARTBEAT_MS * 1_000_000L && registered) {
                registered = false;
                kit.record("the store removes the entry of " + listed);
                kit.store.remove("servers/" + listed);
            }
            Kit.sleep(50);
        }
    }

    private void register() {
        if (!registered) {
            kit.record("the store has the entry of " + id);
        }
        registered = true;
        ObjectNode entry = Store.JSON.createObjectNode();
        entry.put("Service", service).put("Address", "127.0.0.1:" + port).put("Zone", zone).put("Version", "v1");
        entry.put("Slots", slots).put("State", "ready").put("ColdRemainingMs", 0).put("Phase", "unified");
        entry.put("Sequence", ++sequence).put("born", born);
        kit.store.put("servers/" + id, entry.toString());
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket s = from.accept();
                s.setTcpNoDelay(true);
                sockets.add(s);
                Thread.ofVirtual().start(() -> serve(s));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            for (Message head = Message.read(in); head != null; head = Message.read(in)) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                head.readBody(in, true, body::writeBytes);
                answer(new Call(head, body.toByteArray(), out));
            }
        } catch (IOException e) {
            // The caller, or a crash, has ended the connection.
        } finally {
            sockets.remove(s);
        }
    }

    private void answer(Call call) throws IOException {
        String expected = call.head.header("X-Jujuberouter-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            reply(call, 421, "X-Jujuberouter-Instance-Id: " + id + "\r\n", "");
        } else if (call.path().equals("/v1/order")) {
            order(call);
        } else if (call.path().equals("/v1/report")) {
            reply(call, 200, "Content-Type: application/json\r\n", report());
        } else if (call.path().equals("/health")) {
            reply(call, 200, "X-Jujuberouter-Instance-Id: " + id + "\r\n", "");
        } else if (call.attempt.isEmpty()) {
            reply(call, 400, "X-Jujuberouter-Not-Executed: 1\r\n", "");
        } else {
            kit.record("request " + call.attempt + " reaches " + id);
            if (!behaviour.arrives(this, call)) {
                run(call);
            }
        }
    }

    private void run(Call call) throws IOException {
        if (active.incrementAndGet() > 2 * slots) {
            active.decrementAndGet();
            notRun(call, "");
            return;
        }
        Semaphore mine = places;
        mine.acquireUninterruptibly();
        running.put(call.attempt, call);
        try {
            kit.record("request " + call.attempt + " runs at " + id);
            if (call.head.header("X-Jujuberouter-Token-Usage").isEmpty()) {
                Kit.sleep(eventGapMs);
                reply(call, 200, signature(call), "done");
            } else {
                stream(call);
            }
            kit.record("request " + call.attempt + " ends at " + id);
        } finally {
            running.remove(call.attempt);
            mine.release();
            active.decrementAndGet();
        }
    }

    private void stream(Call call) throws IOException {
        long tokens = Long.parseLong(call.head.header("X-Jujuberouter-Token-Usage").split(",")[0]);
        int first = (int) call.head.number("Last-Event-Id", 0) + 1;
        write(
                call,
                "HTTP/1.1 200 OK\r\n" + signature(call) + "Content-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        call.memory = tokens;
        read(tokens);
        for (int i = first; i <= events; i++) {
            call.memory += Kit.STRIDE;
            awaitMemory(call);
            awaitPass();
            String event = "id: " + i + "\ndata: " + call.attempt + " " + i + "\n\n";
            writeEvent(call, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            behaviour.afterEvent(this, call, i);
            Kit.sleep(eventGapMs);
        }
        writeEvent(call, "0\r\n\r\n");
    }

    private void writeEvent(Call call, String text) throws IOException {
        if (call.callerLeft) {
            return;
        }
        try {
            write(call, text);
        } catch (IOException e) {
            if (dropsRequests) {
                throw e;
            }
            call.callerLeft = true;
            kit.record("request " + call.attempt + " goes on at " + id + " without its caller");
        }
    }

    private long memoryUsed() {
        return running.values().stream().filter(c -> !c.preempted).mapToLong(c -> c.memory).sum();
    }

    /** Preempts the request if it is the newest one when memory has run out, until there is memory for it. */
    private void awaitMemory(Call call) {
        synchronized (running) {
            boolean newest = running.values().stream().noneMatch(c -> !c.preempted && c.arrived > call.arrived);
            if (!newest || memoryUsed() <= memoryTotal) {
                return;
            }
            kit.record("request " + call.attempt + " is preempted at " + id + ", memory " + memoryUsed());
            call.preempted = true;
        }
        while (true) {
            Kit.sleep(5);
            synchronized (running) {
                if (memoryUsed() + call.memory <= memoryTotal) {
                    call.preempted = false;
                    break;
                }
            }
        }
        Kit.sleep(Math.round(Kit.readMs(call.memory, 0)));
        kit.record("request " + call.attempt + " goes on at " + id);
    }

    /** Reads a prompt in passes of at most a stride of steps, at whose ends the other streams get their events. */
    private void read(long tokens) {
        long done = 0;
        while (done < tokens) {
            double passMs = 0;
            for (int step = 0; step < Kit.STRIDE && done < tokens; step++) {
                long piece = Math.min(Kit.CHUNK, tokens - done);
                passMs += Kit.STEP_MS + Kit.readMs(piece, done);
                done += piece;
            }
            long end = System.nanoTime() + (long) (passMs * 1e6);
            passEnds = Math.max(passEnds, end);
            Kit.sleep(Math.round(passMs));
            // All streams get an event before the next pass.
            Kit.sleep(5);
        }
    }

    private void awaitPass() {
        for (long now = System.nanoTime(); passEnds - now > 0; now = System.nanoTime()) {
            Kit.sleep(Math.max(1, (passEnds - now) / 1_000_000));
        }
    }

    private String signature(Call call) {
        return "X-Jujuberouter-Attempt-Id: " + call.attempt + "\r\nX-Jujuberouter-Response-Signature: " + id + "."
                + call.attempt + "\r\n";
    }

    /** Turns a request away as not run. */
    void notRun(Call call, String headers) throws IOException {
        kit.record("request " + call.attempt + " is turned away by " + id + " " + headers.strip());
        reply(
                call,
                503,
                "X-Jujuberouter-Attempt-Id: " + call.attempt + "\r\nX-Jujuberouter-Not-Executed: 1\r\n" + headers,
                "");
    }

    private void order(Call call) throws IOException {
        JsonNode order = Store.JSON.readTree(call.body);
        if (order.path("Operation").asText().equals("reserve")) {
            tickets.put(order.path("Id").asText(), order.path("TokenCount").asLong());
        } else {
            tickets.remove(order.path("Id").asText());
        }
        reply(call, 200, "Content-Type: application/json\r\n", "{\"Unallocated\":100000}");
    }

    private String report() {
        ObjectNode report = Store.JSON.createObjectNode().put("Phase", "unified").put("Busy", false);
        report.put("Sequence", 1).put("Queued", Math.max(0, active.get() - slots)).put("Active", running.size());
        report.put("KvUsed", 0).put("KvTotal", 232_000).put("Handles", 0).put("pace", 1.0);
        ArrayNode listed = report.putArray("Tickets");
        tickets.forEach((ticket, tokens) -> listed.addObject()
                .put("Id", ticket)
                .put("TokenCount", tokens)
                .put("State", "used")
                .put("AgeMs", 0));
        return report.toString();
    }

    private void reply(Call call, int status, String headers, String body) throws IOException {
        write(call, "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static void write(Call call, String text) throws IOException {
        call.out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        call.out.flush();
    }

    private static void close(AutoCloseable c) {
        try {
            c.close();
        } catch (Exception e) {
            // Closed already.
        }
    }
}
