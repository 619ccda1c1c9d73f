package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.engine.PlainClient;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.misc.Json;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.platform.HttpInstanceList;
import org.jujuberouter.platform.InstanceList;
import org.jujuberouter.platform.PlatformException;

/** One entry instance: it serves callers until it is closed. */
public final class EntryDaemon implements AutoCloseable {
    private static final Logger LOG = System.getLogger(EntryDaemon.class.getName());
    private static final long LIST_INTERVAL_MS = 500;

    private final EntryOptions options;
    private final EndpointDirectory directory = EndpointDirectory.empty();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final CallerHttp http;
    private volatile boolean stopping;
    private volatile boolean listed;

    private EntryDaemon(EntryOptions options, CallerHttp http) {
        this.options = options;
        this.http = http;
    }

    /** Starts an instance. */
    public static EntryDaemon start(EntryOptions options) throws IOException {
        EntryDaemon daemon = new EntryDaemon(options, CallerHttp.bind(options.listen()));
        daemon.routes();
        InstanceList list = HttpInstanceList.at(options.list());
        daemon.timer.scheduleWithFixedDelay(() -> daemon.refresh(list), 0, LIST_INTERVAL_MS, TimeUnit.MILLISECONDS);
        daemon.http.start();
        LOG.log(Level.INFO, "[entry] Instance {0} listens at {1}.", options.instance(), daemon.address());
        return daemon;
    }

    /** Returns where callers connect. */
    public InetSocketAddress address() {
        return http.address();
    }

    private void refresh(InstanceList list) {
        try {
            directory.replace(list.read());
            listed = true;
        } catch (PlatformException e) {
            LOG.log(Level.WARNING, "[entry] The list did not answer: {0}", e.getMessage());
        }
    }

    private void routes() {
        Ticker ticker = Ticker.system();
        Incarnation self = Incarnation.of(options.instance(), System.currentTimeMillis());
        CallerGate gate = CallerGate.create(self, ticker, options.maxBodyBytes(), new Policy());
        EngineClient engines = EngineClient.create();
        InFlight inFlight = InFlight.empty();
        http.route(
                CompletionCall.COMPLETIONS_PATH, CompletionsHandler.create(false, gate, directory, engines, inFlight));
        http.route(CompletionCall.CHAT_PATH, CompletionsHandler.create(true, gate, directory, engines, inFlight));
        http.route(ServicesHandler.PREFIX, ServicesHandler.create(gate, directory, PlainClient.create(), inFlight));
        http.route("/v1/models", this::models);
        http.route(
                "/healthz", e -> e.sendJson(200, Json.MAPPER.createObjectNode().put("status", "ok")));
        http.route("/readyz", this::ready);
        http.route("/", e -> {
            throw JujuberouterException.notRun(ErrorKind.UNKNOWN_PATH, e.path());
        });
    }

    private void models(CallerExchange exchange) throws IOException {
        ObjectNode body = Json.MAPPER.createObjectNode().put("object", "list");
        ArrayNode data = body.putArray("data");
        directory.all().stream()
                .filter(m -> m.role() == org.jujuberouter.platform.ListedMember.Role.ENGINE)
                .map(m -> m.service())
                .distinct()
                .forEach(s -> data.addObject().put("id", s).put("object", "model"));
        exchange.sendJson(200, body);
    }

    private void ready(CallerExchange exchange) throws IOException, JujuberouterException {
        new Policy().requireReady();
        exchange.sendJson(200, Json.MAPPER.createObjectNode().put("status", "ready"));
    }

    private final class Policy implements CallerGate.CallerPolicy {
        @Override
        public void requireReady() throws JujuberouterException {
            if (stopping) {
                throw JujuberouterException.notRun(ErrorKind.STOPPING);
            }
            if (!listed) {
                throw JujuberouterException.notRun(ErrorKind.NOT_READY, "the list of endpoints was not read yet");
            }
        }

        @Override
        public Optional<CustomerId> customerOf(String key) {
            return key.isBlank() ? Optional.empty() : Optional.of(CustomerId.of(key));
        }

        @Override
        public Duration defaultDeadline() {
            return Duration.ofSeconds(60);
        }

        @Override
        public Duration maxDeadline() {
            return Duration.ofMinutes(15);
        }
    }

    @Override
    public void close() {
        stopping = true;
        timer.shutdownNow();
        http.close();
    }
}
