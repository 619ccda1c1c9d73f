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
 * Asks the endpoints that this instance owns for their load and their requests.
 *
 * <p>Each round feeds the endpoint's book, cancels work that belongs to nobody, and tells a crash from the boot number or
 * from a refused connection. One endpoint is asked by one thread at a time; a slow one delays no other.
 */
final class EndpointMonitor {
    static final Duration PERIOD = Duration.ofMillis(500);

    private static final Logger LOG = System.getLogger(EndpointMonitor.class.getName());
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    /** A plain service publishes no load; these bounds keep one from being flooded by a single instance's error. */
    private static final Capacity PLAIN_WARM = Capacity.of(256, Long.MAX_VALUE / 4);

    private static final Capacity PLAIN_COLD = Capacity.of(16, Long.MAX_VALUE / 4);

    private final Ticker ticker;
    private final EngineClient engines;
    private final PermitDesk desk;
    private final Listener listener;
    private final Map<EndpointId, Known> known = new ConcurrentHashMap<>();

    private EndpointMonitor(Ticker ticker, EngineClient engines, PermitDesk desk, Listener listener) {
        this.ticker = ticker;
        this.engines = engines;
        this.desk = desk;
        this.listener = listener;
    }

    static EndpointMonitor create(Ticker ticker, EngineClient engines, PermitDesk desk, Listener listener) {
        return new EndpointMonitor(ticker, engines, desk, listener);
    }

    /** Hears what the monitor finds. */
    interface Listener {
        /** An endpoint that was up restarted or refuses connections. */
        void crashed(EndpointId endpoint);

        /** The engine's prefix cache changed. */
        void cacheChanged(EndpointId endpoint, JsonNode event);

        /** A report came. */
        void reported(EndpointId endpoint, JsonNode load);
    }

    private static final class Known {
        private volatile long boot;
        private long cacheSequence;
        private boolean down;
    }

    /** Asks one endpoint once; to be called on a thread that may block. */
    void ask(ListedMember member) {
        EndpointId endpoint = EndpointId.of(member.name());
        if (member.role() == ListedMember.Role.PLAIN) {
            boolean leaving = member.state() == ListedMember.State.LEAVING;
            long now = ticker.nanos();
            desk.on(endpoint, b -> b.report(new EndpointReport(0, false, leaving, PLAIN_WARM, PLAIN_COLD), now));
            return;
        }
        Known state = known.computeIfAbsent(endpoint, _ -> new Known());
        synchronized (state) {
            try {
                askEngine(endpoint, member, state);
            } catch (EngineException e) {
                if (e.progress() == EngineException.Progress.NOT_SENT && state.boot > 0 && !state.down) {
                    state.down = true;
                    LOG.log(Level.WARNING, "[monitor] Endpoint {0} refuses connections.", endpoint);
                    listener.crashed(endpoint);
                }
            }
        }
    }

    /** Returns the boot number that the endpoint last reported, or 0. */
    long boot(EndpointId endpoint) {
        Known state = known.get(endpoint);
        return state == null ? 0 : state.boot;
    }

    /** Forgets an endpoint that another instance owns now, so that a later change of its boot is not taken for a crash. */
    void forget(EndpointId endpoint) {
        known.remove(endpoint);
    }

    private void askEngine(EndpointId endpoint, ListedMember member, Known state) throws EngineException {
        long asked = ticker.nanos();
        JsonNode load = engines.read(member.address(), "/load", TIMEOUT);
        long boot = load.path("boot").asLong();
        if (state.boot > 0 && boot != state.boot && !state.down) {
            LOG.log(Level.WARNING, "[monitor] Endpoint {0} restarted: boot {1}.", endpoint, boot);
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
        desk.on(endpoint, b -> b.report(report, asked));
        listener.reported(endpoint, load);
        reconcile(endpoint, member.address());
        readCacheEvents(endpoint, member.address(), state);
    }

    private void readCacheEvents(EndpointId endpoint, String address, Known state) throws EngineException {
        JsonNode events = engines.read(address, "/cache/events?after=" + state.cacheSequence, TIMEOUT);
        for (JsonNode event : events.path("events")) {
            state.cacheSequence =
                    Math.max(state.cacheSequence, event.path("sequence").asLong());
            listener.cacheChanged(endpoint, event);
        }
    }

    private void reconcile(EndpointId endpoint, String address) throws EngineException {
        long asked = ticker.nanos();
        JsonNode rows = engines.read(address, "/requests", TIMEOUT).path("requests");
        Map<RequestId, RequestId> atEngine = new HashMap<>();
        List<ListedRequest> listed = new ArrayList<>();
        for (JsonNode row : rows) {
            RequestId id = RequestId.of(row.path("id").asText());
            ListedRequest request = toRow(id, row);
            atEngine.put(request.id(), id);
            listed.add(request);
        }
        List<RequestId> orphans = new ArrayList<>();
        desk.on(endpoint, b -> orphans.addAll(b.listed(listed, asked)));
        for (RequestId orphan : orphans) {
            LOG.log(Level.INFO, "[monitor] Cancelling request {0} without a holder at {1}.", orphan, endpoint);
            engines.cancel(address, atEngine.getOrDefault(orphan, orphan), TIMEOUT);
        }
    }

    private static ListedRequest toRow(RequestId id, JsonNode row) {
        AttemptId attempt = AttemptId.parse(id)
                .orElseGet(() -> new AttemptId(
                        new RunId(Incarnation.of(InstanceId.of("unknown"), 0), 0, 0),
                        0,
                        org.jujuberouter.admission.PromptClass.SHORT));
        RequestId permit = AttemptId.parse(id).isPresent() ? attempt.run().toRequestId() : id;
        String state = row.path("state").asText();
        return new ListedRequest(
                permit,
                attempt.run().holder(),
                attempt.fence(),
                attempt.lane(),
                row.path("kv_tokens").asLong(),
                state.equals("waiting") || state.equals("prefill"));
    }
}
