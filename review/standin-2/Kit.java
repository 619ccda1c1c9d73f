import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: the store, engines, instances as processes, and clients. */
final class Kit implements AutoCloseable {
    static final int HEARTBEAT_MS = 1_200;
    static final int STRIDE = 43;
    static final int CHUNK = 2_048;
    static final double STEP_MS = 1.02;
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    private static final int LIMIT_S = 115;
    private static final Set<Integer> TAKEN = new HashSet<>();

    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    private final PrintStream record;
    private final Path folder;
    private final long started = System.nanoTime();
    private final AtomicLong lastId = new AtomicLong(System.nanoTime());
    private long version;
    private long engineMemory = 232_000;

    Kit() throws IOException {
        record = new PrintStream(Files.newOutputStream(Path.of(System.getenv("RECORD"))), false, "UTF-8");
        folder = Files.createTempDirectory("review-2");
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread.ofPlatform().daemon().start(() -> {
            sleep(LIMIT_S * 1_000L);
            record("the case has run for too long");
            finish(2);
        });
    }

    /** Runs a case: 1 if its rule was broken, 0 if not, 2 if it could not run. */
    static void main(Case test) {
        int result = 2;
        Kit kit = null;
        try {
            kit = new Kit();
            result = test.run(kit);
        } catch (Exception e) {
            e.printStackTrace();
            if (kit != null) {
                kit.record("the case could not run: " + e);
            }
        }
        if (kit != null) {
            kit.finish(result);
        }
        System.exit(result);
    }

    interface Case {
        int run(Kit kit) throws Exception;
    }

    private void finish(int result) {
        record("result " + result);
        synchronized (record) {
            record.flush();
        }
        System.exit(result);
    }

    void record(String text) {
        synchronized (record) {
            record.printf("%9.3f %s%n", seconds(), text);
        }
    }

    double seconds() {
        return (System.nanoTime() - started) / 1e9;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static synchronized int freePort() throws IOException {
        while (true) {
            int port = java.util.concurrent.ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (TAKEN.contains(port)) {
                continue;
            }
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                TAKEN.add(port);
                return s.getLocalPort();
            } catch (IOException e) {
                // Another process has it.
                continue;
            }
        }
    }

    /** Returns the time in which an engine reads a piece of a prompt after what it has read of it, by its cost model. */
    static double readMs(long tokens, long before) {
        return tokens / 206.0 + 0.138 * tokens * (before + tokens / 2.0) / 1e6;
    }

    Engine engine(String name, String service, String zone, int slots, int events, int gapMs) throws IOException {
        Engine e = new Engine(this, name, service, zone, slots, events, gapMs);
        engines.add(e);
        return e;
    }

    /** Sets the memory of all model engines, in tokens, before the configuration is written. */
    void limitEngineMemory(long tokens) {
        engineMemory = tokens;
        engines.forEach(e -> e.limitMemory(tokens));
    }

    /** Writes a configuration with the routes of the small deployment. */
    void configure() {
        ObjectNode config = Store.JSON.createObjectNode().put("Version", version += 3);
        ArrayNode routes = config.putArray("Routes");
        stream(routes, "/brief/", 10_000, 300, 250);
        stream(routes, "/review/", 10_000, 1_500, 600);
        routes.addObject()
                .put("Name", "r-balance")
                .put("Host", HOST)
                .put("Prefix", "/balance/")
                .put("Type", "idempotent")
                .put("TimeoutMs", 4_000)
                .put("TargetLatencyMs", 386)
                .put("Priority", 2)
                .put("Service", "ledger")
                .put("MaxAttempts", 2)
                .put("Public", false);
        ArrayNode services = config.putArray("Services");
        ObjectNode assist = services.addObject();
        assist.put("Name", "assist").put("HealthCheck", "/health").put("MaxConnections", 304);
        assist.put("Protocol", "h1").put("Tls", false).put("ColdStartS", 3.0).put("ColdPerS", 26.0);
        ObjectNode engine = assist.putObject("Engine");
        engine.put("Slots", engines.stream().filter(e -> e.service.equals("assist")).mapToInt(e -> e.slots).findFirst().orElse(11)).put("KvCapacityTokens", engineMemory).put("KvTokenBytes", 327_680).put("Stride", 43);
        engine.put("LinkMbps", 400_000.0).put("step_ms", 1.02).put("per_seq_ms", 0.0033).put("context_per_k", 0.0043);
        engine.put("read_per_s", 206_000.0).put("pairs_per_m", 0.138).put("chunk", 2_048);
        engine.put("report_lag_ms", 200.0).put("HopMs", 0.075);
        engine.putArray("Models").addObject().put("Name", "m");
        engine.putObject("usual").put("prompt", 12_316).put("answer", 1_303);
        ObjectNode ledger = services.addObject();
        ledger.put("Name", "ledger").put("HealthCheck", "/health").put("MaxConnections", 110);
        ledger.put("Protocol", "h1").put("Tls", false).put("ColdStartS", 0.0).put("ColdPerS", 0.0);
        config.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        ObjectNode tenant = config.putArray("Tenants").addObject();
        tenant.put("Name", "hule930").put("Priority", 1).putArray("ApiKeys").add(KEY);
        store.put("op/config", config.toString());
        record("the operator writes configuration " + version);
    }

    private static void stream(ArrayNode routes, String prefix, int timeoutMs, int objectiveMs, int gapMs) {
        routes.addObject()
                .put("Name", "r-" + prefix.replace("/", ""))
                .put("Host", HOST)
                .put("Prefix", prefix)
                .put("Type", "streaming")
                .put("TimeoutMs", timeoutMs)
                .put("TargetLatencyMs", objectiveMs)
                .put("Priority", 1)
                .put("Service", "assist")
                .put("MaxAttempts", 2)
                .put("Public", false)
                .put("SessionAffinity", true)
                .put("StreamResume", true)
                .put("TargetGapMs", gapMs);
    }

    /** Starts instances and waits until all are ready. */
    void startNodes(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node("edge-" + i));
        }
        for (Node n : nodes) {
            n.start();
        }
        for (Node n : nodes) {
            n.awaitReady(30_000);
        }
    }

    private void endProcesses() {
        nodes.forEach(n -> {
            if (n.process != null) {
                n.process.destroyForcibly();
            }
        });
        synchronized (record) {
            record.flush();
        }
        try (var files = Files.list(folder)) {
            files.forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // The temporary folder stays.
        }
        folder.toFile().delete();
    }

    /** An instance, started with the command of the deploy file. */
    final class Node {
        final String name;
        final int front = freePort();
        private final int readiness = freePort();
        private final int metrics = freePort();
        private final int peers = freePort();
        private Process process;
        private boolean bootstrap = true;

        private Node(String name) throws IOException {
            this.name = name;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settings().toString());
            bootstrap = false;
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(l -> l.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            String command = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.environment().put("JUJUBEROUTER_NODE_FILE", settings.toString());
            builder.environment().put("JUJUBEROUTER_METRICS_PORT", String.valueOf(metrics));
            Path log = Path.of(System.getenv().getOrDefault("NODE_LOGS", folder.toString())).resolve(name + ".log");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record("process " + name + " starts");
        }

        /** Sends SIGKILL. */
        void kill() throws InterruptedException {
            record("process " + name + " is killed");
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }

        /** Sends SIGTERM. */
        void terminate() {
            record("process " + name + " gets SIGTERM");
            process.destroy();
        }

        boolean isReady() {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", readiness), 500);
                s.setSoTimeout(1_000);
                s.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                Message answer = Message.read(s.getInputStream());
                return answer != null && answer.start.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long millis) {
            long end = System.nanoTime() + millis * 1_000_000;
            while (!isReady()) {
                if (System.nanoTime() - end > 0) {
                    throw new IllegalStateException(name + " is not ready");
                }
                sleep(100);
            }
            record("process " + name + " is ready");
        }

        private ObjectNode settings() {
            ObjectNode node = Store.JSON.createObjectNode();
            node.put("Node", name).put("Role", "gateway").put("NodeClass", "edge").put("Ip", "127.0.0.1");
            node.putArray("Serves").add("edge");
            node.put("Zone", "khon-kaen").put("Region", "isan");
            node.putObject("Zones").put("khon-kaen", "isan").put("udon", "isan");
            node.putObject("Listen").put("Front", "127.0.0.1:" + front).put("Readiness", "127.0.0.1:" + readiness);
            node.putArray("PortRange").add(peers).add(peers);
            node.putArray("Seeds");
            node.put("Bootstrap", bootstrap).put("InTolerance", false);
            node.putObject("Limits").put("CpuShare", 0.75).put("Cores", 1).put("MemoryMb", 430).put("MaxFds", 4_100);
            node.putNull("DataDir").put("Discovery", "platform").put("Entry", "vip").put("HeartbeatMs", HEARTBEAT_MS);
            ObjectNode bounds = node.putObject("Bounds");
            bounds.put("ReuseAfterS", 2).put("ContactMs", 3_000).put("AckMs", 4_000).put("DrainMs", 2_000);
            bounds.put("GraceS", 8).put("LossSlackMs", 200).put("ConfigApplyMs", 2_000).put("RollbackSlackMs", 250);
            bounds.put("OuterBoundMs", 5_000).put("StrictRevoke", true).put("RevokeMs", 5_000);
            bounds.put("RetryBudgetRatio", 0.2).put("BudgetWindowS", 10).put("BudgetSlack", 104);
            bounds.put("ColdOverage", 1.5).put("ColdSlack", 5).put("EvacuateMs", 5_000).put("RecoveryS", 12);
            bounds.put("PassMs", 120).put("RetryAfterS", 0).put("stall_ms", 1_500).put("MaxHoldMs", 20_000);
            bounds.put("FreeMs", 4_000).put("IdleMaxMs", 9_000);
            ObjectNode platform = node.putObject("Platform").put("Address", "127.0.0.1:" + store.port());
            platform.put("form", "kv").put("WritesPerS", 400).put("ReadsPerS", 2_000).put("HistoryS", 20);
            platform.put("ValueBytes", 1_048_576).put("TtlMinMs", 1_000);
            return node;
        }
    }

    /** What a client has seen of one request. */
    static final class Result {
        String attempt = "";
        String node = "";
        double sentAt;
        double endedAt;
        int status;
        int events;
        boolean complete;
        String error = "";

        boolean served() {
            return status == 200 && complete;
        }

        @Override
        public String toString() {
            return "request " + attempt + " by " + node + ": " + (status == 0 ? "no answer" : "status " + status) + ", "
                    + events + " events, " + (complete ? "complete" : "not complete") + " " + error;
        }
    }

    String newAttempt() {
        return String.format("%016x", lastId.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends a stream request; the client leaves after the given pause, as the platform's clients do. */
    Result stream(Node node, String path, String parts, long promptTokens, int patienceMs) {
        return stream(node, path, parts, promptTokens, 1_300, patienceMs, Integer.MAX_VALUE);
    }

    /** Sends a stream request; the client leaves after the given pause, and after the given number of events. */
    Result stream(
            Node node, String path, String parts, long promptTokens, long outputTokens, int patienceMs, int maxEvents) {
        return send(
                node,
                "POST",
                path,
                "X-Jujuberouter-Model: m\r\nX-Jujuberouter-Token-Usage: " + promptTokens + "," + outputTokens
                        + "\r\nX-Jujuberouter-Prefix-Hash: " + parts + "\r\n",
                "the prompt of " + path,
                10_000,
                patienceMs,
                maxEvents);
    }

    Result send(
            Node node, String method, String path, String headers, String body, int deadlineMs, int patienceMs) {
        return send(node, method, path, headers, body, deadlineMs, patienceMs, Integer.MAX_VALUE);
    }

    private Result send(
            Node node,
            String method,
            String path,
            String headers,
            String body,
            int deadlineMs,
            int patienceMs,
            int maxEvents) {
        Result result = new Result();
        result.attempt = newAttempt();
        result.node = node.name;
        result.sentAt = seconds();
        record("request " + result.attempt + " " + method + " " + path + " is sent to " + node.name);
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", node.front), 1_000);
            s.setTcpNoDelay(true);
            s.setSoTimeout(patienceMs);
            String request = method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Jujuberouter-Attempt-Id: "
                    + result.attempt + "\r\n" + headers + "X-Jujuberouter-Deadline-Ms: " + deadlineMs
                    + "\r\nAuthorization: Bearer " + KEY + "\r\n"
                    + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            BufferedInputStream in = new BufferedInputStream(s.getInputStream());
            Message answer = Message.read(in);
            if (answer == null) {
                throw new IOException("closed without an answer");
            }
            result.status = Integer.parseInt(answer.start.split(" ")[1]);
            StringBuilder text = new StringBuilder();
            answer.readBody(in, false, piece -> {
                text.append(new String(piece, StandardCharsets.ISO_8859_1));
                result.events = text.toString().split("\n\n", -1).length - 1;
                if (result.events >= maxEvents) {
                    throw new UncheckedIOException(new IOException("the client leaves"));
                }
            });
            result.complete = true;
            if (result.status != 200) {
                result.error = text.toString().strip();
            }
        } catch (IOException e) {
            result.error = String.valueOf(e.getMessage());
        } catch (UncheckedIOException e) {
            result.error = e.getCause().getMessage();
        }
        result.endedAt = seconds();
        record(result.toString());
        return result;
    }

    @Override
    public void close() {
        endProcesses();
    }

    static void check(boolean condition, String otherwise) {
        if (!condition) {
            throw new UncheckedIOException(new IOException(otherwise));
        }
    }
}
