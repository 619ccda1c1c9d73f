package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jujuberouter.admission.AdmissionController;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.membership.Membership;
import org.jujuberouter.misc.Json;
import org.jujuberouter.ownership.Ownership;
import org.jujuberouter.peer.PeerTraffic;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.supervisor.ChildSpec;
import org.jujuberouter.supervisor.RestartIntensity;
import org.jujuberouter.supervisor.RestartStrategy;
import org.jujuberouter.supervisor.Supervisor;
import org.jujuberouter.supervisor.SupervisorException;
import org.jujuberouter.telemetry.LabelledMetrics;

/**
 * An entry instance that serves callers until it is closed.
 *
 * <p>On a planned stop it refuses new requests, waits for requests in flight, hands over the endpoints that it owns,
 * and ends its lease, in this order.
 */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(EntryDaemon.class.getName());
    private static final Duration LIST_PERIOD = Duration.ofMillis(500);
    private static final Duration PULL_PERIOD = Duration.ofMillis(100);
    private static final Duration PENDING_RECORDS_PERIOD = Duration.ofSeconds(1);
    private static final Duration HOLDER_QUERY_PERIOD = Duration.ofSeconds(2);
    private static final Duration EXPIRE_PERIOD = Duration.ofSeconds(5);
    private static final Duration STOP_POLL_PERIOD = Duration.ofMillis(50);

    /** Ownership ticks every 250 ms; the limit keeps an unavailable store from delaying the stop for long. */
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(5);

    private final EntryOptions options;
    private final CallerHttpServer http;
    private final InstanceRuntime runtime;
    private final EntryMetrics metrics;
    private final Supervisor supervisorTree;
    private volatile boolean stopping;

    private EntryDaemon(EntryOptions options, CallerHttpServer http, InstanceRuntime runtime) {
        this.options = options;
        this.http = http;
        this.runtime = runtime;
        this.metrics = EntryMetrics.create(options.accessLog());
        this.supervisorTree = supervisorTree();
    }

    /** Starts an instance. */
    public static EntryDaemon start(EntryOptions options) throws IOException {
        EntryDaemon daemon =
                new EntryDaemon(options, CallerHttpServer.bind(options.listen()), InstanceRuntime.create(options));
        daemon.registerRoutes();
        daemon.registerGauges();
        daemon.startSupervisorTree();
        daemon.http.start();
        LOG.log(
                Level.INFO,
                "[entry] Instance {0} is listening on {1} for callers and on {2} for peers",
                options.instance(),
                daemon.address(),
                daemon.peerAddress());
        return daemon;
    }

    /** Returns the address for callers. */
    public InetSocketAddress address() {
        return http.address();
    }

    /** Returns the address for other instances. */
    public InetSocketAddress peerAddress() {
        return runtime.peerAddress();
    }

    /** Returns the traffic with other instances since the start. */
    public PeerTraffic peerTraffic() {
        return runtime.network.traffic();
    }

    /** Returns the number of endpoints that the instance owns. */
    public int ownedEndpoints() {
        return runtime.ownership.owned().size();
    }

    private void startSupervisorTree() throws IOException {
        try {
            supervisorTree.start();
        } catch (SupervisorException e) {
            throw new IOException("failed to start the supervisor tree", e);
        }
        Thread.ofVirtual().name("convictions").start(runtime::readQuarantineEntries);
    }

    /** Completes when the supervisor tree has ended; exceptionally if the restart intensity was exceeded. */
    public CompletableFuture<Void> ended() {
        return supervisorTree.ended();
    }

    /** Returns the supervisor tree: workers for the platform, for peers, and for endpoints and permits. */
    private Supervisor supervisorTree() {
        return supervisor(
                "instance",
                ChildSpec.supervisor(
                        "platform",
                        () -> supervisor(
                                "platform",
                                worker("settings", runtime::followSettings),
                                periodic("list", LIST_PERIOD, runtime::readList),
                                periodic("ownership", Ownership.TICK_PERIOD, runtime::tickOwnership),
                                periodic(
                                        "once-records",
                                        PENDING_RECORDS_PERIOD,
                                        runtime.idempotencyStore::processPending))),
                ChildSpec.supervisor(
                        "peers",
                        () -> supervisor(
                                "peers",
                                periodic("membership", Membership.HEARTBEAT_PERIOD, runtime::tickMembership),
                                periodic("heartbeat", Membership.HEARTBEAT_PERIOD, runtime::sendHeartbeat),
                                periodic("settings-pull", PULL_PERIOD, runtime::pullSettings),
                                periodic("holder-query", HOLDER_QUERY_PERIOD, runtime::queryHolders))),
                ChildSpec.supervisor(
                        "endpoints",
                        () -> supervisor(
                                "endpoints",
                                periodic("reports", EndpointMonitor.PERIOD, runtime::pollEndpoints),
                                periodic("permits", AdmissionController.TICK_PERIOD, runtime::tickPermits),
                                periodic("expiry", EXPIRE_PERIOD, runtime.arbiterClient::expire))));
    }

    private static Supervisor supervisor(String name, ChildSpec... children) {
        return Supervisor.of(name, new RestartStrategy.OneForOne(), RestartIntensity.defaults(), List.of(children));
    }

    private static ChildSpec periodic(String name, Duration period, Runnable step) {
        return worker(name, () -> {
            step.run();
            return period;
        });
    }

    private static ChildSpec worker(String name, Supplier<Duration> step) {
        return ChildSpec.interruptibleWorker(name, stop -> {
            while (!stop.isRequested()) {
                stop.await(step.get());
            }
        });
    }

    private void registerRoutes() {
        RequestValidator validator = RequestValidator.create(
                runtime::self, runtime.ticker, options.maxBodyBytes(), new SettingsCallerPolicy());
        http.route(CompletionCall.COMPLETIONS_PATH, CompletionsHandler.create(false, validator, runtime, metrics));
        http.route(CompletionCall.CHAT_PATH, CompletionsHandler.create(true, validator, runtime, metrics));
        http.route(ServicesHandler.PREFIX, ServicesHandler.create(validator, runtime, metrics));
        http.route("/v1/models", this::listModels);
        http.route(
                "/healthz", e -> e.sendJson(200, Json.MAPPER.createObjectNode().put("status", "ok")));
        http.route("/readyz", this::readiness);
        http.route(
                "/metrics",
                e -> e.send(200, LabelledMetrics.CONTENT_TYPE, metrics.render().getBytes(StandardCharsets.UTF_8)));
        http.route("/", e -> {
            throw JujuberouterException.notRun(ErrorKind.UNKNOWN_PATH, e.path());
        });
    }

    private void registerGauges() {
        metrics.gauge("held_bytes", runtime.memoryBudget::heldBytes);
        metrics.gauge("open_streams", () -> (long) runtime.memoryBudget.openStreams());
        metrics.gauge("requests_in_flight", () -> (long) http.inFlight());
        metrics.gauge("settings_version", runtime.settings::version);
        metrics.gauge("owned_endpoints", () -> (long) runtime.ownership.owned().size());
        metrics.gauge("live_instances", () -> (long) runtime.membership.live().size());
        metrics.gauge("marked_requests", () -> (long) runtime.evidence.size());
    }

    private void listModels(CallerExchange exchange) throws IOException {
        ObjectNode body = Json.MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        Settings settings = runtime.settings.settings();
        for (ServiceName service : settings.services()) {
            settings.models(service)
                    .forEach(m -> data.addObject()
                            .put("id", m.value())
                            .put("object", "model")
                            .put("owned_by", service.value()));
        }
        exchange.sendJson(200, body);
    }

    private void readiness(CallerExchange exchange) throws IOException, JujuberouterException {
        new SettingsCallerPolicy().requireReady();
        exchange.sendJson(200, Json.MAPPER.createObjectNode().put("status", "ready"));
    }

    private final class SettingsCallerPolicy implements RequestValidator.CallerPolicy {
        @Override
        public void requireReady() throws JujuberouterException {
            if (stopping) {
                throw JujuberouterException.notRun(ErrorKind.STOPPING);
            }
            Optional<String> reason = runtime.notReadyReason();
            if (reason.isPresent()) {
                throw JujuberouterException.notRun(ErrorKind.NOT_READY, reason.get());
            }
        }

        @Override
        public Optional<CustomerId> customerOf(String key) {
            try {
                byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
                return runtime.settings
                        .settings()
                        .customerByKeyHash(HexFormat.of().formatHex(hash));
            } catch (NoSuchAlgorithmException e) {
                throw new IllegalStateException("every JDK has SHA-256", e);
            }
        }

        @Override
        public Duration defaultDeadline(CustomerId customer) {
            return millis(customer, "deadline.default-ms");
        }

        @Override
        public Duration maxDeadline(CustomerId customer) {
            return millis(customer, "deadline.max-ms");
        }

        private Duration millis(CustomerId customer, String setting) {
            return Duration.ofMillis(
                    runtime.settings.settings().integer(new SettingTarget.Customer(customer), setting));
        }
    }

    @Override
    public void close() {
        if (stopping) {
            return;
        }
        stopping = true;
        LOG.log(Level.INFO, "[entry] Stopping with {0} requests in flight", http.inFlight());
        await(options.drainTimeout(), () -> http.inFlight() == 0);
        runtime.beginLeaving();
        await(HANDOVER_TIMEOUT, runtime::hasHandedOver);
        supervisorTree.close();
        runtime.idempotencyStore.processPending();
        http.close();
        runtime.close();
        LOG.log(Level.INFO, "[entry] Stopped");
    }

    private static void await(Duration timeout, Supplier<Boolean> condition) {
        long end = System.nanoTime() + timeout.toNanos();
        try {
            while (!condition.get() && System.nanoTime() < end) {
                Thread.sleep(STOP_POLL_PERIOD);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
