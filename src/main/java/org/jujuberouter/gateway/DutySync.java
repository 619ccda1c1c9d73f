package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.DutyStore;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.duty.DutyActions;
import org.jujuberouter.duty.DutyControl;
import org.jujuberouter.duty.DutyResult;
import org.jujuberouter.duty.DutyTask;
import org.jujuberouter.duty.DutyTerm;
import org.jujuberouter.duty.InstanceReport;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerConnection;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;

/** Connects the duties of this instance with the store, the peers and the platform's API. */
final class DutySync implements DutyActions {
    private static final System.Logger LOG = System.getLogger(DutySync.class.getName());

    /** Interval of the checks of what is due; below the delay of 150 ms between the ranks of an election. */
    private static final long TICK_MS = 100;

    private static final long TASK_INTERVAL_MS = 1_000;

    /** Longest wait for the end of the last call and the reply to the last report before the process exits. */
    private static final long END_TIMEOUT_MS = 400;

    private final Gateway gateway;
    private final StoreWatcher watcher;
    private final PeerLoadSync peers;
    private final DutyStore store;
    private final DutyCalls calls;
    private final EventLoop loop;
    private final DutyControl control;
    private final List<DutyTask> tasks = new ArrayList<>();
    private Supplier<List<ServiceDemand>> demand = List::of;
    private long tasksRunAt;
    private boolean tasksRun;

    private DutySync(
            Gateway gateway,
            StoreWatcher watcher,
            PeerLoadSync peers,
            DutyStore store,
            DutyCalls calls,
            GatewayOptions options,
            DutyOptions duties,
            long leaseMs) {
        this.gateway = gateway;
        this.watcher = watcher;
        this.peers = peers;
        this.store = store;
        this.calls = calls;
        this.loop = gateway.loop();
        this.control = DutyControl.of(
                gateway.ticker(),
                Ticker.wallClock(),
                peers.self(),
                duties.settings(),
                leaseMs,
                options.firstStart(),
                this);
    }

    /** Starts the duties; must be called before the event loop handles events of the store and of peers. */
    static DutySync start(
            Gateway gateway,
            StoreWatcher watcher,
            PeerLoadSync peers,
            DutyStore store,
            DutyCalls calls,
            GatewayOptions options,
            DutyOptions duties,
            long leaseMs) {
        DutySync sync = new DutySync(gateway, watcher, peers, store, calls, options, duties, leaseMs);
        DutyControl control = sync.control;
        GatewayMetrics metrics = gateway.metrics();
        metrics.gauge("duty_held", () -> control.term().isPresent() ? 1 : 0);
        metrics.gauge("duty_token", () -> control.term().map(DutyTerm::token).orElse(0L));
        metrics.gauge("usage_last_window", control::lastWindow);
        metrics.gauge("usage_windows_pending", control::pendingWindows);
        metrics.gauge("usage_windows_given_up", control::givenUpWindows);
        if (options.ordersEngines()) {
            EngineScaling.start(gateway, sync);
        }
        sync.loop.scheduleWithFixedDelay(sync::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        return sync;
    }

    /** Adds work to do about once per second while this instance leads and may act. */
    void addTask(DutyTask task) {
        tasks.add(task);
    }

    /** Sets the source of the demand that this instance reports to the leader. */
    void setDemand(Supplier<List<ServiceDemand>> source) {
        demand = source;
    }

    private void tick() {
        control.tick(peers.listed(), watcher.position());
        if (control.isReportDue()) {
            sendReport();
        }
        long now = gateway.ticker().millis();
        if (!tasks.isEmpty() && now - tasksRunAt >= TASK_INTERVAL_MS && control.mayAct()) {
            tasksRunAt = now;
            tasksRun = true;
            DutyTerm term = control.term().orElseThrow();
            tasks.forEach(t -> t.run(term, control.listedInstances(), control.demands()));
        } else if (tasksRun && control.term().isEmpty()) {
            tasksRun = false;
            tasks.forEach(DutyTask::termEnded);
        }
    }

    private void sendReport() {
        InstanceId leader = control.holder().orElseThrow();
        if (leader.equals(gateway.instance())) {
            InstanceReport report = control.report(demand.get());
            control.reportReceived(peers.self(), report).ifPresent(control::replyReceived);
        } else if (peers.isConnected(leader)) {
            peers.send(leader, new PeerMessage.DutyReport(control.report(demand.get())));
        }
    }

    void onMessage(PeerConnection from, PeerMessage.DutyMessage message) {
        switch (message) {
            case PeerMessage.DutyReport m ->
                control.reportReceived(from.peer(), m.report())
                        .ifPresent(reply -> answer(from, new PeerMessage.DutyReply(reply)));
            case PeerMessage.DutyReply m -> {
                if (control.holder().filter(from.peer().instance()::equals).isPresent()) {
                    control.replyReceived(m.reply());
                }
            }
        }
    }

    private static void answer(PeerConnection to, PeerMessage.DutyReply reply) {
        try {
            to.send(reply);
        } catch (PeerException e) {
            LOG.log(System.Logger.Level.DEBUG, "[peer] duty reply not sent to {0}: {1}", to.peer(), e.getMessage());
        }
    }

    void onDisconnected(Incarnation peer) {
        control.disconnected(peer);
    }

    /** Counts a request of a customer that an endpoint began to execute. */
    void executed(CustomerId customer) {
        control.executed(customer);
    }

    void onWritten(ControlEntry.DutyHolder holder) {
        control.holderWritten(holder.instance(), holder.position());
        peers.setLeader(control.holder());
    }

    void onRemoved(ControlEntry.DutyHolder holder) {
        control.holderRemoved(holder.position());
        peers.setLeader(control.holder());
    }

    void onWritten(ControlEntry.UsageWindow window) {
        control.windowWritten(window.window(), window.counts());
    }

    void onRemoved(ControlEntry.UsageWindow window) {
        control.windowRemoved(window.window());
    }

    void leaseRenewed(long sentNanos) {
        control.leaseRenewed(sentNanos);
    }

    void leaseLost() {
        control.leaseLost();
    }

    /** Releases leadership, if there are other instances; the counts are reported to the next leader until the end. */
    void stop() {
        control.stop();
        tick();
    }

    /** Reports for the last time; runs the action when that is done, or after a bounded time. */
    void end(Runnable done) {
        control.end();
        tick();
        if (control.holder().isPresent()) {
            sendReport();
        }
        awaitEnd(gateway.ticker().millis() + END_TIMEOUT_MS, done);
    }

    private void awaitEnd(long latestMs, Runnable done) {
        boolean alone = peers.listed().size() == 1;
        if (gateway.ticker().millis() >= latestMs || control.isIdle() && (alone || control.isReported())) {
            done.run();
        } else {
            loop.schedule(() -> awaitEnd(latestMs, done), TICK_MS / 2, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Orders the number of engines of a service in a domain. The result is {@link DutyResult#NOT_SENT} if the term is
     * over, the lease is not certain or the rate limit is used up.
     */
    void orderEngines(
            DutyTerm term, ServiceName service, FailureDomain domain, int count, Consumer<DutyResult> listener) {
        if (control.term().filter(term::equals).isEmpty() || !control.beginCall()) {
            listener.accept(DutyResult.NOT_SENT);
            return;
        }
        calls.orderEngines(term, service, domain, count, () -> control.maySend(term), result -> {
            control.callEnded(term, result);
            gateway.metrics().dutyCall("autoscale", result.text());
            log(
                    result == DutyResult.ACCEPTED ? "engines ordered" : "engines not ordered",
                    Map.entry("service", service),
                    Map.entry("domain", domain),
                    Map.entry("count", count),
                    Map.entry("token", term.token()),
                    Map.entry("result", result.text()));
            listener.accept(result);
        });
    }

    @Override
    public void createHolder() {
        store.createHolder(gateway.instance(), outcome -> {
            control.holderCreated(outcome);
            peers.setLeader(control.holder());
        });
    }

    @Override
    public void deleteHolder(long revision) {
        // The watch shows the outcome; a key that is left expires with its lease.
        store.deleteHolder(revision, _ -> {});
    }

    @Override
    public void commitWindow(DutyTerm term, long window, Map<CustomerId, Long> counts, List<Long> obsolete) {
        store.commitWindow(
                term.token(),
                window,
                counts,
                obsolete,
                outcome -> control.windowCommitted(term, window, counts, obsolete, outcome));
    }

    @Override
    public void sendUsage(DutyTerm term, long window, Map<CustomerId, Long> counts) {
        calls.reportUsage(term, window, counts, () -> control.maySend(term), result -> {
            gateway.metrics().dutyCall("usage_report", result.text());
            control.usageAnswered(term, window, result);
        });
    }

    @Override
    public void log(String event, Map.Entry<?, ?>... fields) {
        gateway.log().stateChanged(event, fields);
    }
}
