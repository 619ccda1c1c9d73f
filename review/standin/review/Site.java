package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small deployment: the store, the operator's configuration, and instances started with the deploy file's command. */
final class Site implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    static final String HOST = "ficu95.example";

    final Store store = new Store();
    final Record record;
    private final Path directory;
    private final List<Process> processes = new ArrayList<>();

    Site(Record record) throws IOException {
        this.record = record;
        this.directory = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** An instance of the system. */
    record Instance(Process process, String ip, int front, int readiness, Path log) {
        InetSocketAddress address() {
            return new InetSocketAddress(ip, front);
        }
    }

    /** Writes the settings file of an instance and starts it with the command of the deploy file. */
    Instance start(String name, String ip, String zone) throws IOException {
        int front = freePort(ip);
        int readiness = freePort(ip);
        int peers = freePort(ip);
        ObjectNode node = JSON.createObjectNode();
        node.put("Node", name).put("Role", "gateway").put("NodeClass", "edge").put("Ip", ip);
        node.put("Zone", zone).put("Region", "isan").put("Bootstrap", true).put("HeartbeatMs", 1200);
        node.putObject("Listen").put("Front", ip + ":" + front).put("Readiness", ip + ":" + readiness);
        node.putArray("PortRange").add(peers).add(peers + 15);
        node.putObject("Bounds")
                .put("ContactMs", 3000)
                .put("DrainMs", 2000)
                .put("GraceS", 8)
                .put("LossSlackMs", 200)
                .put("ConfigApplyMs", 2000)
                .put("StrictRevoke", true)
                .put("RevokeMs", 5000)
                .put("RetryBudgetRatio", 0.2)
                .put("BudgetWindowS", 10)
                .put("BudgetSlack", 104);
        node.putObject("Platform").put("Address", store.open(name)).put("form", "kv");
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, node.toString());
        Path log = directory.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(deployCommand());
        builder.environment().put("JUJUBEROUTER_NODE_FILE", file.toString());
        builder.environment().put("JUJUBEROUTER_METRICS_PORT", "0");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        processes.add(process);
        record.line("started " + name + " at " + ip + ":" + front + ", process " + process.pid());
        return new Instance(process, ip, front, readiness, log);
    }

    /** Returns the words of "run" in deploy/system.toml. */
    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no command");
    }

    /** Waits until the instance says that it is ready and peers are registered. */
    void awaitReady(Instance instance, int instances) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            if (isReady(instance) && store.count("instances/") >= instances) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("the instance is not ready; its log: " + Files.readString(instance.log));
    }

    boolean isReady(Instance instance) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress(instance.ip, instance.readiness), 1_000);
            s.setSoTimeout(1_000);
            s.getOutputStream().write(Http.bytes("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            return Http.readResponse(Http.buffered(s.getInputStream()), 1_024, n -> {}).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends a signal to a process that this site started. */
    void signal(Instance instance, String name) throws IOException, InterruptedException {
        record.line("SIG" + name + " to process " + instance.process.pid());
        new ProcessBuilder("kill", "-" + name, String.valueOf(instance.process.pid()))
                .start()
                .waitFor();
    }

    /** Returns a configuration with the given version and no tenants; the limits are those of the sheet's site. */
    static ObjectNode configuration(long version) {
        ObjectNode config = JSON.createObjectNode().put("Version", version);
        config.putArray("Routes");
        config.putArray("Services");
        config.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        return config;
    }

    static void addRoute(ObjectNode config, String prefix, String type, String service, int attempts, long timeoutMs) {
        ((ArrayNode) config.get("Routes"))
                .addObject()
                .put("Name", "r" + prefix.replace("/", "-"))
                .put("Host", HOST)
                .put("Prefix", prefix)
                .put("Type", type)
                .put("TimeoutMs", timeoutMs)
                .put("TargetLatencyMs", 386)
                .put("Priority", 2)
                .put("Service", service)
                .put("MaxAttempts", attempts)
                .put("Public", false);
    }

    static void addService(ObjectNode config, String name) {
        ((ArrayNode) config.get("Services"))
                .addObject()
                .put("Name", name)
                .put("HealthCheck", "/health")
                .put("MaxConnections", 110)
                .put("Protocol", "h1")
                .put("Tls", false)
                .put("ColdStartS", 0.0)
                .put("ColdPerS", 0.0);
    }

    static int freePort(String ip) throws IOException {
        for (int i = 0; i < 50; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket s = new ServerSocket()) {
                s.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
                return port;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    @Override
    public synchronized void close() {
        processes.forEach(Process::destroyForcibly);
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
        try (Stream<Path> files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            return;
        }
    }
}
