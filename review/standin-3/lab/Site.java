package lab;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: a store, instances in three zones and engines of two services. */
final class Site implements AutoCloseable {
    static final InetAddress LOOPBACK = loopback();
    static final String HOST = "site.example";
    static final List<String> ZONES = List.of("za", "zb", "zc");
    static final long CONTACT_MS = 3_000;
    static final long DRAIN_MS = 2_000;
    static final long REVOKE_MS = 5_000;
    static final String MODEL = "assist";
    static final String LEDGER = "ledger";

    /** Whether the disruption of the case takes place, as its script says; without it the rule must hold. */
    static final boolean TROUBLE = !"0".equals(System.getProperty("trouble"));

    final Path root;
    final Path folder;
    final Record record;
    final Store store;
    final List<Instance> instances = new CopyOnWriteArrayList<>();
    final List<Engine> engines = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();

    Site(String caseFolder) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = new Record(Path.of(caseFolder, "record.txt"));
        folder = Files.createTempDirectory("review-3-");
        store = new Store(record);
        record.line("the disruption of the case %s", TROUBLE ? "takes place" : "is left out");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> instances.forEach(Instance::close)));
    }

    private static InetAddress loopback() {
        try {
            return InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    Engine engine(String id, String service, int slots, Engine.Work work) throws IOException {
        Engine e = new Engine(record, store, id, service, ZONES.get(engines.size() % 3), slots, work);
        engines.add(e);
        e.start();
        return e;
    }

    /** Starts an instance that reaches the store through a proxy of its own. */
    Instance instance(String name) throws IOException {
        Proxy p = new Proxy(store.address());
        proxies.add(p);
        Instance i = new Instance(root, folder, name, ZONES.get(instances.size() % 3), p.address());
        instances.add(i);
        record.line("instance %s is started as process %d", name, i.pid());
        return i;
    }

    /** Starts an instance again that has ended. */
    void restart(int index) throws IOException {
        Instance again = new Instance(instances.get(index));
        instances.set(index, again);
        record.line("instance %s is started as process %d", again.name, again.pid());
    }

    /** Waits until all instances are ready and know each other; fails if they are not in time. */
    void awaitReady() throws IOException, InterruptedException {
        long end = record.nowMs() + 30_000;
        while (!instances.stream().allMatch(Instance::isReady)) {
            if (record.nowMs() > end) {
                throw new IOException("the instances are not ready");
            }
            Thread.sleep(50);
        }
        Thread.sleep(3_000);
        record.line("all instances are ready");
    }

    /** Returns a configuration with routes of each type; the keys belong to the tenant t1. */
    static String configuration(long version, Set<String> keys) {
        ObjectNode c = Json.object().put("Version", version);
        ArrayNode routes = c.putArray("Routes");
        route(routes, "prompts", "/prompts/", "streaming", MODEL, 10_000, 300)
                .put("SessionAffinity", true)
                .put("StreamResume", false)
                .put("TargetGapMs", 250);
        route(routes, "post", "/post/", "non_idempotent", LEDGER, 4_000, 300);
        route(routes, "read", "/read/", "idempotent", LEDGER, 4_000, 300);
        ArrayNode services = c.putArray("Services");
        ObjectNode model = services.addObject();
        model.put("Name", MODEL)
                .put("HealthCheck", "/health")
                .put("MaxConnections", 304)
                .put("Protocol", "h1")
                .put("Tls", false)
                .put("ColdStartS", 0.0)
                .put("ColdPerS", 0.0);
        model.putObject("Engine")
                .put("Slots", 11)
                .put("KvCapacityTokens", 232_000)
                .put("Stride", 43)
                .put("step_ms", 1.02)
                .put("per_seq_ms", 0.0033)
                .put("context_per_k", 0.0043)
                .put("read_per_s", 206_000.0)
                .put("pairs_per_m", 0.138)
                .put("chunk", 2_048)
                .put("report_lag_ms", 200.0)
                .put("HopMs", 0.075);
        services.addObject()
                .put("Name", LEDGER)
                .put("HealthCheck", "/health")
                .put("MaxConnections", 110)
                .put("Protocol", "h1")
                .put("Tls", false)
                .put("ColdStartS", 0.0)
                .put("ColdPerS", 0.0);
        c.putObject("Limits")
                .put("MaxHeaderBytes", 16_384)
                .put("MaxBodyBytes", 4_194_304)
                .put("HeaderTimeoutMs", 3_000)
                .put("IdleTimeoutMs", 15_000);
        ObjectNode tenant = c.putArray("Tenants").addObject().put("Name", "t1").put("Priority", 1);
        ArrayNode list = tenant.putArray("ApiKeys");
        keys.forEach(list::add);
        return c.toString();
    }

    private static ObjectNode route(
            ArrayNode routes, String name, String prefix, String type, String service, long timeoutMs, long aimMs) {
        return routes.addObject()
                .put("Name", name)
                .put("Host", HOST)
                .put("Prefix", prefix)
                .put("Type", type)
                .put("TimeoutMs", timeoutMs)
                .put("TargetLatencyMs", aimMs)
                .put("Priority", 1)
                .put("Service", service)
                .put("MaxAttempts", 2)
                .put("Public", false);
    }

    static InetSocketAddress front(Instance i) {
        return i.front;
    }

    @Override
    public void close() throws IOException {
        instances.forEach(Instance::close);
        for (Engine e : engines) {
            e.close();
        }
        for (Proxy p : proxies) {
            p.close();
        }
        store.close();
        try (var files = Files.list(folder)) {
            for (Path f : files.toList()) {
                if (System.getenv("KEEP_LOGS") == null) {
                    Files.delete(f);
                }
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            Files.delete(folder);
        }
        record.close();
    }
}
