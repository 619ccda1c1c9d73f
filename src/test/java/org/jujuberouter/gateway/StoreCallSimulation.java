package org.jujuberouter.gateway;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.StoreListener;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.control.WatchOnlyStore;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.peer.PeerMessage;

/** A fleet in groups that follows a scripted store on a virtual clock; counts calls and measures delays. */
final class StoreCallSimulation {
    private static final long REVOCATION_BOUND_MS = 5_000;
    private static final long HEARTBEAT_MS = 1_200;
    private static final long TICK_MS = 10;
    private static final long MESSAGE_MS = 2;
    private static final long WATCH_MARGIN_MS = 800;
    private static final long CONNECTION_TIMEOUT_MS = 3_000;
    private static final long LEASE_MS = 6_000;
    private static final long RENEW_MS = 2_000;
    private static final int PAGES = 3;

    /** Price of a read: stale pages at a tenth of a call, and the watch that adds the changes since. */
    private static final long READ_TENTHS = PAGES + 10;

    final SplittableRandom random;
    final List<Instance> instances = new ArrayList<>();
    private final TreeMap<Long, List<Runnable>> script = new TreeMap<>();
    private final List<ControlEvent> history = new ArrayList<>();
    private final List<Long> changeTimes = new ArrayList<>();
    private final Map<String, ControlEvent> current = new TreeMap<>();
    private final PriorityQueue<Message> messages = new PriorityQueue<>((a, b) ->
            a.deliverAt == b.deliverAt ? Long.compare(a.order, b.order) : Long.compare(a.deliverAt, b.deliverAt));
    private final int groups;
    long answerMs = 4;

    /** Probability that a watch is never answered; the next two of the same instance are. */
    double lostAnswers;

    boolean down;
    long now;
    private long revision = 10;
    private long order;

    /** Billed calls by kind, in tenths. */
    final Map<String, Long> tenths = new TreeMap<>();

    /** Longest time from a change, or from the time at which the store served the instance again, to its receipt. */
    long maxLagMs;

    /** Longest time from the return of the store to a confirmed view. */
    long maxReturnMs;

    /** Time for which instances that run had no current configuration after their start, in total. */
    long notCurrentMs;

    private long measuredFrom;

    /** Measures from now on. */
    void resetMeasures() {
        measuredFrom = now;
        tenths.clear();
        maxLagMs = 0;
        maxReturnMs = 0;
        notCurrentMs = 0;
    }

    private record Message(long deliverAt, long order, Runnable delivery) {}

    StoreCallSimulation(long seed, int size, int groups) {
        random = new SplittableRandom(seed);
        this.groups = groups;
        for (int i = 0; i < size; i++) {
            instances.add(null);
            int index = i;
            at(random.nextLong(2_000), () -> start(index));
        }
    }

    void at(long time, Runnable action) {
        script.computeIfAbsent(time / TICK_MS * TICK_MS, _ -> new ArrayList<>()).add(action);
    }

    void start(int index) {
        instances.set(index, new Instance(index));
    }

    /** Writes a key per interval between two times. */
    void changes(long from, long to, long intervalMs, String key) {
        for (long t = from; t < to; t += intervalMs) {
            at(t, () -> write(key, new ControlEntry.Evacuation(FailureDomain.of("d"))));
        }
    }

    void run(long until) {
        while (now < until) {
            now += TICK_MS;
            List<Runnable> due = script.remove(now - TICK_MS);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            while (!messages.isEmpty() && messages.peek().deliverAt <= now) {
                messages.poll().delivery.run();
            }
            for (Instance i : instances) {
                if (i != null) {
                    i.advance();
                }
            }
        }
    }

    double calls() {
        return tenths.values().stream().mapToLong(Long::longValue).sum() / 10.0;
    }

    double callsPerInstanceSecond() {
        return calls() / instances.size() / ((now - measuredFrom) / 1e3);
    }

    @Override
    public String toString() {
        return String.format(
                "%.0f calls, %.2f per instance and second %s, lag %d ms, return %d ms, not current %d ms",
                calls(), callsPerInstanceSecond(), tenths, maxLagMs, maxReturnMs, notCurrentMs);
    }

    private void bill(String kind, long amount) {
        tenths.merge(kind, amount, Long::sum);
    }

    private StorePosition position() {
        return StorePosition.of(0, revision);
    }

    private void write(String key, ControlEntry entry) {
        if (!down) {
            revision++;
            append(new ControlEvent.Written(key, position(), entry));
            current.put(key, history.getLast());
        }
    }

    private void remove(String key) {
        if (current.remove(key) != null) {
            revision++;
            append(new ControlEvent.Removed(key, position()));
        }
    }

    private void append(ControlEvent event) {
        history.add(event);
        changeTimes.add(now);
    }

    private void send(Instance to, Runnable delivery) {
        messages.add(new Message(now + MESSAGE_MS, order++, () -> {
            if (instances.get(to.index) == to && !to.isPaused()) {
                delivery.run();
            }
        }));
    }

    /** One instance. */
    final class Instance implements WatchOnlyStore, StoreListener {
        private final int index;
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final ManualTicker clock = ManualTicker.atZero();
        private final StoreFreshness configuration = StoreFreshness.of(clock, clock, REVOCATION_BOUND_MS);
        private final StoreFreshness view = StoreFreshness.of(clock, clock, REVOCATION_BOUND_MS);
        private final Map<String, Long> entries = new HashMap<>();
        private final StoreWatcher watcher;
        private final StoreProof proof;
        private final StoreProofRoles roles;
        private boolean refused;
        private boolean served = true;
        private boolean started;
        private boolean confirmedSinceServed = true;
        private long servedSince;
        private long pausedFrom;
        private long pausedUntil;
        private long nextQuery;
        private long nextRenewal;
        private long renewedAt;
        private int checkedChanges;
        private long watchNumber;
        private long lostWatch;

        private Instance(int index) {
            this.index = index;
            channel.freezeTime();
            watcher = StoreWatcher.of(this, channel.eventLoop(), clock, this, HEARTBEAT_MS);
            proof = StoreProof.of(watcher, configuration, view, () -> entries.getOrDefault("config", 0L));
            roles = StoreProofRoles.of(id(index), clock);
            nextQuery = now + 10 * index;
            checkedChanges = history.size();
            servedSince = now;
            watcher.start();
            register();
        }

        private static InstanceId id(int index) {
            return InstanceId.of(String.format("i%03d", index));
        }

        private boolean isPaused() {
            return now < pausedUntil;
        }

        /** Whether the peers have noticed that this instance does not answer. */
        private boolean isConnected() {
            return !isPaused() || now < pausedFrom + CONNECTION_TIMEOUT_MS;
        }

        void pause(long millis) {
            pausedFrom = now;
            pausedUntil = now + millis;
        }

        void setRefused(boolean value) {
            refused = value;
        }

        private boolean isServed() {
            return !down && !refused;
        }

        private void advance() {
            clock.advance(Duration.ofMillis(TICK_MS));
            channel.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
            if (isPaused()) {
                servedSince = now;
                return;
            }
            channel.runScheduledPendingTasks();
            boolean servedNow = isServed();
            if (servedNow && !served) {
                servedSince = now;
                confirmedSinceServed = false;
            }
            served = servedNow;
            if (now >= nextRenewal && nextRenewal > 0) {
                renewLease();
            }
            if (now >= nextQuery) {
                queryProof();
            }
            measure();
        }

        private void measure() {
            if (!started) {
                return;
            }
            if (!configuration.isCurrent()) {
                notCurrentMs += TICK_MS;
            }
            while (checkedChanges < history.size()
                    && watcher.position().includes(history.get(checkedChanges).position())) {
                checkedChanges++;
            }
            if (served && checkedChanges < history.size()) {
                maxLagMs = Math.max(maxLagMs, now - Math.max(servedSince, changeTimes.get(checkedChanges)));
            }
            if (served && !confirmedSinceServed) {
                maxReturnMs = Math.max(maxReturnMs, now - servedSince);
            }
        }

        private void register() {
            bill("register", 20);
            nextRenewal = now + RENEW_MS;
            if (isServed()) {
                renewedAt = now;
                ControlEntry entry =
                        new ControlEntry.Peer(id(index), new InetSocketAddress("127.0.0.1", 1), Optional.empty());
                write("instances/" + index, entry);
            } else {
                nextRenewal = now + 500;
            }
        }

        private void renewLease() {
            if (renewedAt == 0) {
                if (watcher.isConnected()) {
                    register();
                } else {
                    nextRenewal = now + 500;
                }
                return;
            }
            bill("renew", 1);
            nextRenewal = now + RENEW_MS;
            if (isServed()) {
                boolean lapsed = now - renewedAt > LEASE_MS;
                renewedAt = now;
                if (lapsed) {
                    remove("instances/" + index);
                    register();
                }
            }
        }

        private void queryProof() {
            List<InstanceId> connected = new ArrayList<>();
            for (Instance i : instances) {
                if (i != null && i != this && i.index % groups == index % groups && i.isConnected()) {
                    connected.add(id(i.index));
                }
            }
            roles.setConnected(connected.stream(), instances.size());
            for (InstanceId asked : roles.toAsk()) {
                Instance peer = instances.get(Integer.parseInt(asked.value().substring(1)));
                PeerMessage.ContactQuery query = new PeerMessage.ContactQuery(clock.nanos());
                send(peer, () -> {
                    if (peer.proof.canReport() || peer.roles.isCandidate()) {
                        PeerMessage.ContactReport report = peer.proof.report(query);
                        send(this, () -> {
                            roles.onReport(asked, report);
                            proof.onReport(report);
                        });
                    }
                });
            }
            watcher.setProvesForOthers(roles.proves(watcher.isConnected()));
            watcher.checkProof();
            nextQuery = now + StoreProofRoles.queryIntervalMs(watcher.awaitsStoreOfPeers());
        }

        private void deliver(long delay, Consumer<ControlReply> listener, ControlReply reply) {
            channel.eventLoop().schedule(() -> listener.accept(reply), delay, TimeUnit.MILLISECONDS);
        }

        @Override
        public void read(Consumer<ControlReply> listener) {
            if (isServed()) {
                bill("read", READ_TENTHS);
                deliver(
                        (PAGES + 1) * answerMs,
                        listener,
                        new ControlReply.Success(List.copyOf(current.values()), position()));
            } else {
                bill("read refused", 10);
                deliver(answerMs, listener, new ControlReply.Refused("refused"));
            }
        }

        @Override
        public void watch(StorePosition after, long waitMs, Consumer<ControlReply> listener) {
            long number = ++watchNumber;
            long deadline = now + waitMs;
            boolean lost = number > lostWatch + 2 && random.nextDouble() < lostAnswers;
            if (lost) {
                lostWatch = number;
            }
            bill(isServed() ? waitMs == 1 ? "watch of 1 ms" : "watch" : "watch refused", 10);
            Runnable[] poll = new Runnable[1];
            poll[0] = () -> {
                if (number != watchNumber) {
                    return;
                }
                List<ControlEvent> events = null;
                if (!lost && isServed() && !isPaused()) {
                    int first = history.size();
                    while (first > 0 && history.get(first - 1).position().isAfter(after)) {
                        first--;
                    }
                    events = history.subList(first, history.size());
                }
                ControlReply reply = null;
                if (!isServed()) {
                    reply = new ControlReply.Refused("refused");
                } else if (events != null && (!events.isEmpty() || now >= deadline)) {
                    reply = new ControlReply.Success(List.copyOf(events), position());
                } else if (lost && now >= deadline + WATCH_MARGIN_MS) {
                    reply = new ControlReply.Inconclusive("lost");
                }
                if (reply == null) {
                    channel.eventLoop().schedule(poll[0], TICK_MS, TimeUnit.MILLISECONDS);
                } else {
                    deliver(answerMs, listener, reply);
                }
            };
            poll[0].run();
        }

        @Override
        public void cancelWatch() {
            watchNumber++;
            bill("replaced (not billed)", 0);
        }

        @Override
        public void onWritten(String key, ControlEntry entry) {
            ControlEvent event = current.get(key);
            entries.put(key, event == null ? 0 : Math.min(event.position().revision(), revision));
        }

        @Override
        public void onRemoved(String key, ControlEntry entry, long graceMs) {}

        @Override
        public void onConfirmed(long sentNanos) {
            started = true;
            confirmedSinceServed = true;
            configuration.confirmAt(sentNanos);
            view.confirmAt(sentNanos);
        }

        @Override
        public void onUnavailable(String reason) {}
    }

    /** Scripts a day of 87 s with storms, an outage, a slow store, refused instances, restarts and pauses. */
    void scriptFaultyDay() {
        int size = instances.size();
        for (long t = 3_000; t < 87_000; t += 2_000) {
            long at = t + random.nextLong(2_000);
            String key = "servers/" + t;
            at(at, () -> write(key, new ControlEntry.Evacuation(FailureDomain.of("d"))));
            long paused = random.nextLong(500, 6_000);
            int index = random.nextInt(size);
            at(at, () -> instances.get(index).pause(paused));
        }
        changes(10_000, 20_000, 250, "config");
        at(25_000, () -> down = true);
        at(33_000, () -> down = false);
        at(38_000, () -> answerMs = 240);
        at(46_000, () -> answerMs = 4);
        for (int i = 0; i < size; i++) {
            int index = i;
            if (random.nextInt(5) == 0) {
                at(48_000, () -> instances.get(index).setRefused(true));
                at(58_000, () -> instances.get(index).setRefused(false));
            }
            if (random.nextInt(3) == 0) {
                at(60_000 + random.nextLong(3_000), () -> start(index));
            }
        }
        changes(65_000, 72_000, 330, "servers/churn");
        lostAnswers = 0.01;
    }
}
