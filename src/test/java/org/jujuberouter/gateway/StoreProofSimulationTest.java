package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.StoreListener;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.control.WatchOnlyStore;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/**
 * Guards against views of the store that count as current though they lack a change: instances that prove each other's
 * views are paused, suspended, restarted and cut off from the store and from each other, and messages are delayed.
 */
class StoreProofSimulationTest {
    /** Bound on the use of a view that lacks a change. */
    private static final long REVOCATION_BOUND_MS = 5_000;

    private static final int INSTANCES = 8;
    private static final int PROVING = 2;
    private static final long HEARTBEAT_MS = 1_200;
    private static final long TICK_MS = 20;
    private static final long RUN_MS = 40_000;
    private static final long QUERY_INTERVAL_MS = 500;
    private static final long WATCH_MARGIN_MS = 800;
    private static final int SEEDS = 200;
    private static final String CONFIGURATION = "configuration";

    /** How the connection of an instance to the store behaves. */
    private enum Link {
        SERVING,
        REFUSING,
        SILENT
    }

    private record Message(long deliverAt, long order, Runnable delivery) {}

    /** One run of the simulation with the given seed. */
    private static final class Run {
        private final SplittableRandom random;
        private final boolean faults;
        private final UnaryOperator<PeerMessage.ContactReport> tamper;
        private final List<Instance> instances = new ArrayList<>();
        private final TreeMap<Long, Long> revisionsByTime = new TreeMap<>();
        private final TreeMap<Long, Long> configurationsByTime = new TreeMap<>();
        private final List<ControlEvent> history = new ArrayList<>();
        private final PriorityQueue<Message> messages = new PriorityQueue<>((a, b) ->
                a.deliverAt == b.deliverAt ? Long.compare(a.order, b.order) : Long.compare(a.deliverAt, b.deliverAt));
        private int changesPerHundredTicks = 1;
        private long now;
        private long revision = 10;
        private long order;
        private long calls;
        private int violations;
        private int notCurrent;

        private Run(long seed, boolean faults, UnaryOperator<PeerMessage.ContactReport> tamper) {
            this.random = new SplittableRandom(seed);
            this.faults = faults;
            this.tamper = tamper;
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(new Instance(this, i));
            }
        }

        private void run() {
            while (now < RUN_MS) {
                now += TICK_MS;
                change();
                if (faults) {
                    injectFaults();
                }
                instances.forEach(Instance::advance);
                while (!messages.isEmpty() && messages.peek().deliverAt <= now) {
                    messages.poll().delivery.run();
                }
                instances.forEach(Instance::check);
            }
        }

        private StorePosition position() {
            return StorePosition.of(0, revision);
        }

        private void change() {
            if (random.nextInt(100) < changesPerHundredTicks) {
                revision++;
                String key = random.nextBoolean() ? CONFIGURATION : "other";
                history.add(
                        new ControlEvent.Written(key, position(), new ControlEntry.Evacuation(FailureDomain.of("d"))));
                revisionsByTime.put(now, revision);
                if (key.equals(CONFIGURATION)) {
                    configurationsByTime.put(now, revision);
                }
            }
        }

        private void injectFaults() {
            Instance i = instances.get(random.nextInt(INSTANCES));
            switch (random.nextInt(400)) {
                case 0 -> i.link = Link.REFUSING;
                case 1 -> i.link = Link.SILENT;
                case 2, 3, 4 -> i.link = Link.SERVING;
                case 5 -> i.pause(random.nextLong(100, 8_000), false);
                case 6 -> i.pause(random.nextLong(200, 8_000), true);
                case 7 -> instances.set(i.index, new Instance(this, i.index));
                case 8 -> i.reachable = false;
                case 9, 10 -> i.reachable = true;
                case 11 -> instances.forEach(x -> x.link = Link.SILENT);
                case 12 -> instances.forEach(x -> x.link = Link.SERVING);
                case 13 -> instances.replaceAll(x -> new Instance(this, x.index));
                default -> {
                    // Most ticks inject nothing.
                }
            }
        }

        private void send(Instance to, Runnable delivery) {
            long delay = faults && random.nextInt(50) == 0 ? random.nextLong(6_000) : 2;
            messages.add(new Message(now + delay, order++, () -> {
                if (instances.get(to.index) == to && !to.isPaused()) {
                    delivery.run();
                }
            }));
        }

        private long requiredRevision(TreeMap<Long, Long> byTime) {
            Map.Entry<Long, Long> last = byTime.floorEntry(now - REVOCATION_BOUND_MS);
            return last == null ? 0 : last.getValue();
        }
    }

    private record PendingWatch(StorePosition after, long deadline, long failsAt, Consumer<ControlReply> listener) {}

    /** One instance; its monotonic clock stops while it is suspended. */
    private static final class Instance implements WatchOnlyStore, StoreListener {
        private final Run run;
        private final int index;
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final ManualTicker monotonicClock = ManualTicker.atZero();
        private final ManualTicker wallClock = ManualTicker.atZero();
        private final StoreFreshness configuration = StoreFreshness.of(monotonicClock, wallClock, REVOCATION_BOUND_MS);
        private final StoreFreshness view = StoreFreshness.of(monotonicClock, wallClock, REVOCATION_BOUND_MS);
        private final Map<String, Long> entries = new HashMap<>();
        private final StoreWatcher watcher;
        private final StoreProof proof;
        private Link link = Link.SERVING;
        private boolean reachable = true;
        private PendingWatch pending;
        private long pausedUntil;
        private boolean suspended;
        private long nextQuery;
        private int queries;

        private Instance(Run run, int index) {
            this.run = run;
            this.index = index;
            channel.freezeTime();
            watcher = StoreWatcher.of(this, channel.eventLoop(), monotonicClock, this, HEARTBEAT_MS);
            proof = StoreProof.of(watcher, configuration, view, () -> entries.getOrDefault(CONFIGURATION, 0L));
            nextQuery = run.now + index * 10;
            watcher.start();
        }

        private boolean isPaused() {
            return run.now < pausedUntil;
        }

        private void pause(long millis, boolean stopsClock) {
            pausedUntil = run.now + millis;
            suspended = stopsClock;
        }

        private void advance() {
            wallClock.advance(Duration.ofMillis(TICK_MS));
            if (!isPaused() || !suspended) {
                monotonicClock.advance(Duration.ofMillis(TICK_MS));
                channel.advanceTimeBy(TICK_MS, TimeUnit.MILLISECONDS);
            }
            if (isPaused()) {
                return;
            }
            check();
            channel.runScheduledPendingTasks();
            answerWatch();
            if (run.now >= nextQuery) {
                nextQuery = run.now + QUERY_INTERVAL_MS;
                queryProof();
            }
        }

        private void answerWatch() {
            PendingWatch w = pending;
            if (w == null) {
                return;
            }
            List<ControlEvent> events = run.history.stream()
                    .filter(e -> e.position().isAfter(w.after))
                    .toList();
            ControlReply reply = null;
            if (link == Link.REFUSING) {
                reply = new ControlReply.Refused("refused");
            } else if (link == Link.SILENT) {
                reply = run.now >= w.failsAt ? new ControlReply.Inconclusive("silent") : null;
            } else if (!events.isEmpty() || run.now >= w.deadline) {
                reply = new ControlReply.Success(events, run.position());
            }
            if (reply != null) {
                pending = null;
                w.listener.accept(reply);
            }
        }

        private void queryProof() {
            List<Instance> proving = run.instances.stream()
                    .filter(i -> i == this || i.reachable && reachable)
                    .limit(PROVING)
                    .toList();
            watcher.setProvesForOthers(proving.contains(this));
            if (!proving.contains(this)) {
                Instance asked = proving.get(queries++ % proving.size());
                PeerMessage.ContactQuery query = new PeerMessage.ContactQuery(monotonicClock.nanos());
                run.send(asked, () -> {
                    if (asked.proof.canReport()) {
                        PeerMessage.ContactReport report = run.tamper.apply(asked.proof.report(query));
                        run.send(this, () -> proof.onReport(report));
                    }
                });
            }
            watcher.checkProof();
        }

        private void check() {
            if (isPaused()) {
                return;
            }
            boolean viewLacksChange =
                    view.isCurrent() && watcher.position().revision() < run.requiredRevision(run.revisionsByTime);
            boolean configurationLacksChange = configuration.isCurrent()
                    && entries.getOrDefault(CONFIGURATION, 0L) < run.requiredRevision(run.configurationsByTime);
            if (viewLacksChange || configurationLacksChange) {
                run.violations++;
            }
            if (!configuration.isCurrent()) {
                run.notCurrent++;
            }
        }

        @Override
        public void read(Consumer<ControlReply> listener) {
            run.calls++;
            if (link == Link.SERVING) {
                listener.accept(new ControlReply.Success(List.copyOf(run.history), run.position()));
            } else {
                listener.accept(new ControlReply.Refused("refused"));
            }
        }

        @Override
        public void watch(StorePosition after, long waitMs, Consumer<ControlReply> listener) {
            run.calls++;
            pending = new PendingWatch(after, run.now + waitMs, run.now + waitMs + WATCH_MARGIN_MS, listener);
        }

        @Override
        public void cancelWatch() {
            pending = null;
        }

        @Override
        public void onWritten(String key, ControlEntry entry) {
            run.history.stream()
                    .filter(e -> e.key().equals(key) && run.position().includes(e.position()))
                    .mapToLong(e -> e.position().revision())
                    .max()
                    .ifPresent(r -> entries.put(key, r));
        }

        @Override
        public void onRemoved(String key, ControlEntry entry, long graceMs) {}

        @Override
        public void onConfirmed(long sentNanos) {
            configuration.confirmAt(sentNanos);
            view.confirmAt(sentNanos);
        }

        @Override
        public void onUnavailable(String reason) {}
    }

    private static int violations(UnaryOperator<PeerMessage.ContactReport> tamper) {
        int violations = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Run run = new Run(seed, true, tamper);
            run.run();
            violations += run.violations;
        }
        return violations;
    }

    @Test
    void usesNoViewThatLacksAChangeForLongerThanTheBound() {
        assertEquals(0, violations(UnaryOperator.identity()));
    }

    /** Shows that the check fails where a peer reports the revision that the receiver has, whatever its own. */
    @Test
    void detectsReportsOfARevisionThatThePeerDoesNotHave() {
        assertTrue(violations(r -> new PeerMessage.ContactReport(
                        r.queryNanos(), r.ageMillis(), r.configuration(), r.viewAgeMillis(), StorePosition.of(0, 1)))
                > 0);
    }

    /** Shows that the check fails where a peer reports an age that it does not know. */
    @Test
    void detectsReportsThatClaimTheAgeZero() {
        assertTrue(violations(r -> new PeerMessage.ContactReport(r.queryNanos(), 0, r.configuration(), 0, r.position()))
                > 0);
    }

    /** Shows that the check fails where a report counts from its arrival: some are delayed for seconds. */
    @Test
    void detectsReportsThatCountFromTheirArrival() {
        assertTrue(violations(r -> new PeerMessage.ContactReport(
                        Long.MAX_VALUE / 2, r.ageMillis(), r.configuration(), r.viewAgeMillis(), r.position()))
                > 0);
    }

    /** Guards against views that expire while nothing fails, and against calls that only prove that nothing changed. */
    @Test
    void keepsAllViewsCurrentWithFewCallsWhileNothingFailsAndNothingChanges() {
        Run run = new Run(1, false, UnaryOperator.identity());
        run.changesPerHundredTicks = 0;
        run.run();
        assertEquals(0, run.notCurrent);
        long provingCalls = PROVING * RUN_MS / 600;
        long otherCalls = (INSTANCES - PROVING) * RUN_MS / 10_000;
        long startCalls = 3 * INSTANCES;
        assertTrue(run.calls <= provingCalls + otherCalls + startCalls, run.calls + " calls");
    }

    @Test
    void keepsAllViewsCurrentWhileTheStoreChanges() {
        Run run = new Run(1, false, UnaryOperator.identity());
        run.run();
        assertEquals(0, run.violations);
        assertEquals(0, run.notCurrent);
    }
}
