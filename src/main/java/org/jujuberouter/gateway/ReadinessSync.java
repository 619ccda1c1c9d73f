package org.jujuberouter.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.dispatch.ReadinessControl;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.dispatch.UnreadyGrants;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/** Asks the granting instance of the group whether this instance may be unready, or grants it to others. */
final class ReadinessSync {
    /** The connections to the peers of the group. */
    interface Peers {
        /** Returns whether a connection to the peer is open. */
        boolean isConnected(InstanceId instance);

        /** Sends a message to a peer if it is connected. */
        void send(InstanceId to, PeerMessage message);
    }

    private final InstanceId self;
    private final Ticker ticker;
    private final GatewayLog log;
    private final StoreFreshness view;
    private final ReadinessControl control;
    private final UnreadyGrants grants;
    private Map<InstanceId, FailureDomain> domains = Map.of();
    private Optional<Peers> peers = Optional.empty();
    private boolean loggedReady = true;

    private ReadinessSync(InstanceId self, Ticker ticker, GatewayLog log, StoreFreshness view) {
        this.self = self;
        this.ticker = ticker;
        this.log = log;
        this.view = view;
        this.control = ReadinessControl.of(ticker);
        this.grants = UnreadyGrants.of(self, ticker);
    }

    /** Returns the state of an instance that knows no peers; nobody becomes unready while the view is not current. */
    static ReadinessSync of(
            InstanceId self, Ticker ticker, GatewayLog log, GatewayMetrics metrics, StoreFreshness view) {
        ReadinessSync sync = new ReadinessSync(self, ticker, log, view);
        metrics.gauge("unready_for_lag", () -> sync.control.isReady() ? 0 : 1);
        metrics.gauge("unready_periods_total", sync.control::periods);
        metrics.gauge("unready_ms_total", sync.control::totalUnreadyMs);
        metrics.gauge("unready_grants_total", sync.grants::granted);
        return sync;
    }

    /** Sets the listed peers of the group and the domains of the listed instances. */
    void setGroup(Set<InstanceId> group, Map<InstanceId, FailureDomain> listedDomains, Peers connections) {
        grants.setGroup(group);
        domains = Map.copyOf(listedDomains);
        peers = Optional.of(connections);
    }

    /** Handles a measurement of the delay by which this instance makes calls late. */
    void measured(double delayMs) {
        control.observe(delayMs, view.isCurrent());
        long wantedMs = control.toAskMs();
        if (wantedMs > 0) {
            ask(wantedMs);
        }
        logChange(delayMs);
    }

    private void ask(long wantedMs) {
        Optional<InstanceId> granting = grants.granting();
        if (granting.filter(self::equals).isPresent()) {
            control.granted(ticker.nanos(), grant(self, wantedMs));
        } else if (granting.isPresent()) {
            PeerMessage query = new PeerMessage.ContactQuery(ticker.nanos(), wantedMs);
            peers.ifPresent(p -> p.send(granting.get(), query));
        }
    }

    /** Tells the granting instance that this one is not ready for the given time, whatever is granted. */
    void announceStop(long stopMs) {
        ask(Math.max(stopMs, UnreadyGrants.MAX_GRANT_MS + 1));
    }

    /** Returns for how long an instance of the group may be unready; 0 if it may not. */
    long grant(InstanceId asking, long wantedMs) {
        if (wantedMs > UnreadyGrants.MAX_GRANT_MS) {
            grants.recordUnready(asking, wantedMs);
            return 0;
        }
        if (wantedMs == 0 || !view.isCurrent() || peers.isEmpty()) {
            return 0;
        }
        long ms = grants.grant(asking, wantedMs, domains, peers.get()::isConnected);
        if (ms > 0) {
            log.stateChanged("lets an instance be unready", Map.entry("peer", asking), Map.entry("ms", ms));
        }
        return ms;
    }

    /** Handles the answer to a query. */
    void onReport(PeerMessage.ContactReport report) {
        control.granted(report.queryNanos(), report.unreadyMillis());
    }

    /** Returns whether this instance may report that it is ready. */
    boolean isReady() {
        return control.isReady();
    }

    private void logChange(double delayMs) {
        boolean ready = control.isReady();
        if (ready != loggedReady) {
            loggedReady = ready;
            log.stateChanged(
                    ready ? "no longer unready for its lag" : "unready for its lag",
                    Map.entry("delay_ms", Math.round(delayMs)),
                    Map.entry("unready_ms_total", control.totalUnreadyMs()));
        }
    }
}
