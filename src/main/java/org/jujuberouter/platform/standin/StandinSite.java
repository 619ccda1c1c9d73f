package org.jujuberouter.platform.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.jujuberouter.misc.Json;

/** A deployment of stand-ins in one process: a configured store, engines, ledgers, and node files for instances. */
public final class StandinSite implements AutoCloseable {
    /** Lower end of the ports that are neither well-known nor, by usual system settings, ephemeral. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS_END = 32_000;
    private static final int MAX_PORT_ATTEMPTS = 50;

    /** Host of all routes. */
    public static final String HOST = "site.example";

    /** API key of the customer in the initial configuration. */
    public static final String KEY = "key-of-the-first-customer";

    private static final String ENGINES = "assistant";
    private static final String LEDGERS = "ledger";

    private final KvStandin store;
    private final List<EngineStandin> engines = new ArrayList<>();
    private final List<EngineStandin> ledgers = new ArrayList<>();
    private long version;
    private int maxHeaderBytes = 16_384;
    private long idleTimeoutMs = 5_000;
    private Optional<InetSocketAddress> cloud = Optional.empty();
    private double reportWindowS;

    private StandinSite(KvStandin store) {
        this.store = store;
    }

    /** Starts a deployment with the given numbers of engines and ledgers. */
    public static StandinSite start(int engineCount, int ledgerCount, long eventGapMs) throws IOException {
        StandinSite site = new StandinSite(KvStandin.start());
        for (int i = 0; i < engineCount; i++) {
            site.engines.add(EngineStandin.start("engine-" + i, eventGapMs));
        }
        for (int i = 0; i < ledgerCount; i++) {
            site.ledgers.add(EngineStandin.start("ledger-" + i, eventGapMs));
        }
        site.configure(true);
        site.engines.forEach(e -> site.register(e, ENGINES, "ready"));
        site.ledgers.forEach(e -> site.register(e, LEDGERS, "ready"));
        return site;
    }

    /** Returns the store. */
    public KvStandin store() {
        return store;
    }

    /** Returns the engines. */
    public List<EngineStandin> engines() {
        return List.copyOf(engines);
    }

    /** Returns the servers of the plain service "ledger". */
    public List<EngineStandin> ledgers() {
        return List.copyOf(ledgers);
    }

    /** Adds the platform's API, with both duties, to the node files that are written from now on. */
    public void setCloud(InetSocketAddress address, double windowS) {
        cloud = Optional.of(address);
        reportWindowS = windowS;
    }

    /** Writes a new version of the configuration, with the customer's key or another one in its place. */
    public void configure(boolean withKey) {
        configure(List.of("another-key"), List.of(withKey ? KEY : "its-second-key"));
    }

    /** Writes a new version of the configuration in which no customer has a key. */
    public void revokeAllKeys() {
        configure(List.of(), List.of());
    }

    /** Writes a new version of the configuration with other limits for callers. */
    public void limitCallers(int newMaxHeaderBytes, long newIdleTimeoutMs) {
        maxHeaderBytes = newMaxHeaderBytes;
        idleTimeoutMs = newIdleTimeoutMs;
        configure(true);
    }

    /** Writes a new version of the configuration that declares no customers. */
    public void removeCustomers() {
        store.put("op/config", configuration().toString());
    }

    private void configure(List<String> otherKeys, List<String> firstKeys) {
        ObjectNode config = configuration();
        ArrayNode customers = config.putArray("Tenants");
        otherKeys.forEach(customers.addObject().put("Name", "other").putArray("ApiKeys")::add);
        firstKeys.forEach(customers.addObject().put("Name", "first").putArray("ApiKeys")::add);
        store.put("op/config", config.toString());
    }

    private ObjectNode configuration() {
        ObjectNode config = Json.MAPPER.createObjectNode().put("Version", ++version);
        ArrayNode routes = config.putArray("Routes");
        route(routes, "/chat/", "streaming", ENGINES).put("StreamResume", true).put("TargetGapMs", 250);
        route(routes, "/talk/", "streaming", ENGINES)
                .put("StreamResume", true)
                .put("TargetGapMs", 250)
                .put("MaxAttempts", 2);
        // Callers wait long for the first event of a very long prompt.
        route(routes, "/history/", "streaming", ENGINES)
                .put("StreamResume", true)
                .put("TargetGapMs", 1_000)
                .put("TargetLatencyMs", 5_000)
                .put("TimeoutMs", 20_000);
        route(routes, "/post/", "non_idempotent", LEDGERS).put("MaxAttempts", 1);
        // A call may last longer than an instance has for its stop.
        route(routes, "/archive/", "non_idempotent", LEDGERS)
                .put("MaxAttempts", 1)
                .put("TimeoutMs", 20_000);
        route(routes, "/read/", "idempotent", LEDGERS);
        ArrayNode services = config.putArray("Services");
        services.addObject()
                .put("Name", ENGINES)
                .put("HealthCheck", "/health")
                .set(
                        "Engine",
                        Json.MAPPER
                                .createObjectNode()
                                .put("Slots", 8)
                                .put("KvCapacityTokens", 200_000)
                                .put("Stride", 40)
                                .put("step_ms", 1.0)
                                .put("read_per_s", 200_000.0)
                                .put("pairs_per_m", 0.1)
                                .put("chunk", 2_048));
        services.addObject().put("Name", LEDGERS).put("HealthCheck", "/health");
        config.putObject("Limits")
                .put("MaxHeaderBytes", maxHeaderBytes)
                .put("MaxBodyBytes", 1 << 20)
                .put("HeaderTimeoutMs", 1_000)
                .put("IdleTimeoutMs", idleTimeoutMs);
        return config;
    }

    /** Writes the registration of an endpoint with the given state. */
    public void register(EngineStandin engine, String service, String state) {
        store.put("servers/" + engine.id(), engine.registration(service, "north", state));
    }

    /** Registers an engine of the assistant service at the port of a proxy in front of it. */
    public void registerAt(EngineStandin engine, int port) {
        store.put("servers/" + engine.id(), engine.registration(ENGINES, "north", "ready", port));
    }

    /** Registers an engine of the assistant service as draining. */
    public void drain(EngineStandin engine) {
        register(engine, ENGINES, "draining");
    }

    /** Writes the node file of an instance on free loopback ports and returns the address for callers. */
    public InetSocketAddress writeNodeFile(Path file, String name) throws IOException {
        return writeNodeFile(file, name, store.address().getPort());
    }

    /** Writes the node file of an instance, with the store at the given port; returns the address for callers. */
    public InetSocketAddress writeNodeFile(Path file, String name, int storePort) throws IOException {
        int front = freePort();
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("Node", name).put("Zone", "north").put("Region", "here").put("Bootstrap", true);
        node.putObject("Listen").put("Front", "127.0.0.1:" + front).put("Readiness", "127.0.0.1:" + freePort());
        int peers = freePort();
        node.putArray("PortRange").add(peers).add(peers);
        node.putObject("Platform").put("Address", "127.0.0.1:" + storePort);
        ObjectNode bounds = node.putObject("Bounds");
        bounds.put("RevokeMs", 5_000).put("GraceS", 8).put("RetryBudgetRatio", 0.2);
        cloud.ifPresent(address -> {
            bounds.put("RequireFencing", true).put("ReportWindowS", reportWindowS);
            ObjectNode entry = node.putObject("Cloud");
            entry.put("Address", "127.0.0.1:" + address.getPort()).put("DutyPerS", 5);
            entry.putArray("Duties").add("usage_report").add("autoscale");
        });
        Files.writeString(file, node.toString());
        return new InetSocketAddress("127.0.0.1", front);
    }

    /** Returns a caller's request with the customer's key and the given attempt id. */
    public static HttpRequest.Builder request(URI uri, String id) {
        return HttpRequest.newBuilder(uri)
                .header("Host", HOST)
                .header("X-Jujuberouter-Attempt-Id", id)
                .header("X-Jujuberouter-Deadline-Ms", "4000")
                .header("X-Jujuberouter-Token-Usage", "1000,100")
                .header("Authorization", "Bearer " + KEY);
    }

    @Override
    public void close() {
        engines.forEach(EngineStandin::close);
        ledgers.forEach(EngineStandin::close);
        store.close();
    }

    private static ObjectNode route(ArrayNode routes, String prefix, String type, String service) {
        return routes.addObject()
                .put("Name", "route" + prefix)
                .put("Host", HOST)
                .put("Prefix", prefix)
                .put("Type", type)
                .put("TimeoutMs", 5_000)
                .put("TargetLatencyMs", 1_000)
                .put("Priority", 1)
                .put("Service", service)
                .put("MaxAttempts", 3);
    }

    /**
     * Returns a free loopback port below the ephemeral range: an outgoing connection could take an ephemeral port
     * before the process for which it is meant has started.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORTS_END);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use; try another one.
                continue;
            }
        }
        throw new IOException("no free port found in " + MAX_PORT_ATTEMPTS + " attempts");
    }
}
