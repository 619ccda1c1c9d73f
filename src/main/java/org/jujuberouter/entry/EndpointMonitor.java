package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.admission.Capacity;
import org.jujuberouter.admission.EndpointReport;
import org.jujuberouter.admission.ListedRequest;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.ListedMember;

/**
 * Polls the endpoints that this instance owns for their load and their requests.
 *
 * <p>Each poll updates the endpoint's admission controller, cancels orphaned requests, and detects a crash by a changed
 * boot number or a refused connection. Polls of the same endpoint are serialized; polls of different endpoints do not
 * delay each other.
 */
final class EndpointMonitor {
    static final Duration PERIOD = Duration.ofMillis(500);

    private static final Logger LOG = System.getLogger(EndpointMonitor.class.getName());
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(900);

    /** Plain services report no load; this limit keeps a faulty instance from flooding them. */
    private static final Capacity PLAIN_SERVICE_CAPACITY = Capacity.of(256, Long.MAX_VALUE / 4);

    private static final Capacity PLAIN_SERVICE_COLD_CAPACITY = Capacity.of(16, Long.MAX_VALUE / 4);

    private final Ticker ticker;
    private final EngineClient engineClient;
    private final PermitServer permitServer;
    private final Listener listener;
    private final Map<EndpointId, EngineState> engineStates = new ConcurrentHashMap<>();

    private EndpointMonitor(Ticker ticker, EngineClient engineClient, PermitServer permitServer, Listener listener) {
        this.ticker = ticker;
        this.engineClient = engineClient;
        this.permitServer = permitServer;
        this.listener = listener;
    }

    static EndpointMonitor create(
            Ticker ticker, EngineClient engineClient, PermitServer permitServer, Listener listener) {
        return new EndpointMonitor(ticker, engineClient, permitServer, listener);
    }

    /** Receives the results of polls. */
    interface Listener {
        /** An endpoint that was up has restarted or refuses connections. */
        void crashed(EndpointId endpoint);

        /** The engine's prefix cache changed. */
        void cacheChanged(EndpointId endpoint, JsonNode event);

        /** The endpoint returned a load report. */
        void reported(EndpointId endpoint, JsonNode load);
    }

    private static final class EngineState {
        private volatile long boot;
        private long cacheSequence;
        private boolean down;
    }

    /** Polls one endpoint once; may block the calling thread. */
    void poll(ListedMember member) {
        EndpointId endpoint = EndpointId.of(member.name());
        if (member.role() == ListedMember.Role.PLAIN) {
            boolean leaving = member.state() == ListedMember.State.LEAVING;
            long now = ticker.nanos();
            permitServer.update(
                    endpoint,
                    controller -> controller.report(
                            new EndpointReport(0, false, leaving, PLAIN_SERVICE_CAPACITY, PLAIN_SERVICE_COLD_CAPACITY),
                            now));
            return;
        }
        EngineState state = engineStates.computeIfAbsent(endpoint, _ -> new EngineState());
        synchronized (state) {
            try {
                pollEngine(endpoint, member, state);
            } catch (EngineException e) {
                if (e.progress() == EngineException.Progress.NOT_SENT && state.boot > 0 && !state.down) {
                    state.down = true;
                    LOG.log(Level.WARNING, "[monitor] Endpoint {0} refuses connections", endpoint);
                    listener.crashed(endpoint);
                }
            }
        }
    }

    /** Returns the last reported boot number of the endpoint, or 0 if there is none. */
    long boot(EndpointId endpoint) {
        EngineState state = engineStates.get(endpoint);
        return state == null ? 0 : state.boot;
    }

    /**
     * Drops the state of an endpoint that this instance no longer owns. A boot number that changed while another
     * instance owned the endpoint is then not reported as a crash.
     */
    void forget(EndpointId endpoint) {
        engineStates.remove(endpoint);
    }

    private void pollEngine(EndpointId endpoint, ListedMember member, EngineState state) throws EngineException {
        long polledAtNanos = ticker.nanos();
        JsonNode load = engineClient.read(member.address(), "/load", POLL_TIMEOUT);
        long boot = load.path("boot").asLong();
        if (state.boot > 0 && boot != state.boot && !state.down) {
            LOG.log(Level.WARNING, "[monitor] Endpoint {0} restarted with boot number {1}", endpoint, boot);
            listener.crashed(endpoint);
        }
        state.boot = boot;
        state.down = false;
        boolean leaving = load.path("leaving").asBoolean() || member.state() == ListedMember.State.LEAVING;
        long memory = load.path("kv_limit").asLong();
        EndpointReport report = new EndpointReport(
                boot,
                load.path("cold").asBoolean(true),
                leaving,
                Capacity.of(load.path("slots").asLong(), memory),
                Capacity.of(load.path("cold_slots").asLong(), memory));
        permitServer.update(endpoint, controller -> controller.report(report, polledAtNanos));
        listener.reported(endpoint, load);
        reconcile(endpoint, member.address());
        pollCacheEvents(endpoint, member.address(), state);
    }

    private void pollCacheEvents(EndpointId endpoint, String address, EngineState state) throws EngineException {
        JsonNode events = engineClient.read(address, "/cache/events?after=" + state.cacheSequence, POLL_TIMEOUT);
        for (JsonNode event : events.path("events")) {
            state.cacheSequence =
                    Math.max(state.cacheSequence, event.path("sequence").asLong());
            listener.cacheChanged(endpoint, event);
        }
    }

    private void reconcile(EndpointId endpoint, String address) throws EngineException {
        long polledAtNanos = ticker.nanos();
        JsonNode rows = engineClient.read(address, "/requests", POLL_TIMEOUT).path("requests");
        Map<RequestId, RequestId> atEngine = new HashMap<>();
        List<ListedRequest> listed = new ArrayList<>();
        for (JsonNode row : rows) {
            RequestId id = RequestId.of(row.path("id").asText());
            ListedRequest request = toListedRequest(id, row);
            atEngine.put(request.id(), id);
            listed.add(request);
        }
        List<RequestId> orphans = new ArrayList<>();
        permitServer.update(endpoint, controller -> orphans.addAll(controller.listed(listed, polledAtNanos)));
        for (RequestId orphan : orphans) {
            LOG.log(Level.INFO, "[monitor] Cancelling orphaned request {0} at endpoint {1}", orphan, endpoint);
            engineClient.cancel(address, atEngine.getOrDefault(orphan, orphan), POLL_TIMEOUT);
        }
    }

    private static ListedRequest toListedRequest(RequestId id, JsonNode row) {
        AttemptId attempt = AttemptId.parse(id)
                .orElseGet(() -> new AttemptId(
                        new RunId(Incarnation.of(InstanceId.of("unknown"), 0), 0, 0),
                        0,
                        org.jujuberouter.admission.PromptClass.SHORT));
        RequestId requestId = AttemptId.parse(id).isPresent() ? attempt.run().toRequestId() : id;
        String state = row.path("state").asText();
        return new ListedRequest(
                requestId,
                attempt.run().holder(),
                attempt.fence(),
                attempt.promptClass(),
                row.path("kv_tokens").asLong(),
                state.equals("waiting") || state.equals("prefill"));
    }
}
