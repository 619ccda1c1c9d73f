package org.jujuberouter.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.dispatch.InstanceGroups;
import org.jujuberouter.dispatch.LateCalls;
import org.jujuberouter.dispatch.LinkLag;
import org.jujuberouter.dispatch.LoopLag;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.dispatch.UnreadyGrants;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.peer.PeerCodec;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;

/** Instances whose event loops take time for each call, and the platform's probes, on a virtual clock. */
final class OverloadSimulation {
    private static final int STEP_MS = 10;
    private static final int OBJECTIVE_MS = 300;
    private static final int BYTES = 4_096;

    /** Time of the event loop that a call takes; a rejection takes a fifth. */
    private static final double CALL_MS = 10;

    private static final int REVOCATION_MS = 5_000;

    /** Age up to which an instance may use its view of the store. */
    private static final int MAX_VIEW_AGE_MS = 3_800;

    private static final int LEASE_MS = 6_000;

    final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
    private final ManualTicker ticker = ManualTicker.atZero();
    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<InstanceId, FailureDomain> listed = new HashMap<>();
    private int eventCount;
    private long listVersions;
    private long endedMs;

    /** Calls per second and instance. */
    double callsPerS = 50;

    boolean enabled = true;
    boolean viewsAreCurrent = true;
    double lossRate;
    int maxMessageMs = 5;

    /** A fault of the protocol for comparison: grants count from their arrival. */
    boolean grantsCountFromArrival;

    Instance lastAsked;
    int maxUnready;
    String violation = "";

    private record Event(long atMs, int number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Integer.compare(number, other.number);
        }
    }

    final class Instance implements ReadinessSync.Peers {
        private final InstanceId id;
        private final FailureDomain domain;
        private ReadinessSync sync;
        private StoreFreshness view;
        private LoopLag lag;
        private LateCalls late;
        double slowness = 1;
        boolean frozen;
        boolean alive;
        int lateCalls;
        int rejected;
        int unreadyMs;
        private double backlogMs;
        private int unread;
        private long timerDueMs;
        private long timerRunsMs;
        private int failedProbes;
        private long listVersion;

        private Instance(int number, int domains) {
            id = InstanceId.of("instance-" + number);
            domain = FailureDomain.of("domain-" + number % domains);
        }

        private void start() {
            alive = true;
            view = StoreFreshness.of(ticker, ticker, REVOCATION_MS);
            sync = ReadinessSync.of(id, ticker, GatewayLog.create(), new GatewayMetrics(), view);
            lag = LoopLag.of(ticker);
            late = LateCalls.of(lag, LinkLag.of(ticker));
            backlogMs = 0;
            timerDueMs = ticker.millis() + lag.intervalMs();
            timerRunsMs = Long.MAX_VALUE;
            listed.put(id, domain);
            listChanged();
        }

        /** Ends the instance and starts it again after the given time. */
        void restart(int afterMs) {
            alive = false;
            endedMs = ticker.millis();
            at(LEASE_MS, () -> {
                if (!alive) {
                    listed.remove(id);
                    listChanged();
                }
            });
            at(afterMs, this::start);
        }

        boolean isReady() {
            return sync.isReady();
        }

        private void arrive() {
            if (frozen) {
                unread++;
            } else if (enabled && late.isLate(BYTES, OBJECTIVE_MS)) {
                rejected++;
                backlogMs += CALL_MS * slowness / 5;
            } else {
                lateCalls += 3 * backlogMs > OBJECTIVE_MS ? 1 : 0;
                backlogMs += CALL_MS * slowness;
            }
        }

        private void step(long now) {
            unreadyMs += isReady() ? 0 : STEP_MS;
            if (now % 1_000 == (id.hashCode() & 63) * STEP_MS) {
                failedProbes = alive && !frozen && backlogMs < 1_000 && isReady() ? 0 : failedProbes + 1;
            }
            if (frozen || !alive) {
                return;
            }
            for (; unread > 0; unread--) {
                arrive();
            }
            backlogMs = Math.max(0, backlogMs - STEP_MS);
            if (timerRunsMs == Long.MAX_VALUE && now >= timerDueMs) {
                timerRunsMs = now + (long) backlogMs;
            }
            if (now >= timerRunsMs) {
                timerRunsMs = Long.MAX_VALUE;
                lag.timerRan();
                timerDueMs = now + lag.intervalMs();
                if (viewsAreCurrent) {
                    view.confirmAt(ticker.nanos());
                }
                if (enabled) {
                    sync.measured(late.delayMs(LinkLag.MIN_MEASURED_BYTES));
                }
            }
        }

        @Override
        public boolean isConnected(InstanceId instance) {
            return instances.get(instance).alive;
        }

        @Override
        public void send(InstanceId to, PeerMessage message) {
            ReadinessSync asking = sync;
            Instance granting = instances.get(to);
            lastAsked = granting;
            deliver(message, granting, received -> {
                PeerMessage.ContactQuery query = (PeerMessage.ContactQuery) received;
                long ms = granting.sync.grant(id, query.unreadyMillis());
                PeerMessage report = new PeerMessage.ContactReport(query.queryNanos(), 0, 0, 0, StorePosition.NONE, ms);
                deliver(report, this, r -> asking.onReport(asReceived((PeerMessage.ContactReport) r)));
            });
        }
    }

    OverloadSimulation(long seed, int count, int domains) {
        random = new Random(seed);
        for (int i = 0; i < count; i++) {
            Instance instance = new Instance(i, domains);
            instances.put(instance.id, instance);
        }
        instances.values().forEach(Instance::start);
    }

    Instance instance(int number) {
        return new ArrayList<>(instances.values()).get(number);
    }

    private PeerMessage.ContactReport asReceived(PeerMessage.ContactReport r) {
        return grantsCountFromArrival
                ? new PeerMessage.ContactReport(ticker.nanos(), 0, 0, 0, StorePosition.NONE, r.unreadyMillis())
                : r;
    }

    private void deliver(PeerMessage message, Instance to, Consumer<PeerMessage> receiver) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        at(1 + random.nextInt(maxMessageMs) + (int) to.backlogMs, () -> {
            if (to.alive && !to.frozen) {
                try {
                    receiver.accept(PeerCodec.decode(PeerCodec.encode(message)));
                } catch (PeerException e) {
                    throw new IllegalStateException(e);
                }
            }
        });
    }

    private void at(int afterMs, Runnable action) {
        events.add(new Event(ticker.millis() + afterMs, eventCount++, action));
    }

    /** Gives each instance the new list within the time for which it may use the former one. */
    private void listChanged() {
        long version = ++listVersions;
        Map<InstanceId, FailureDomain> all = Map.copyOf(listed);
        Map<InstanceId, Integer> groups =
                InstanceGroups.assignByDomain("instances", all, InstanceGroups.groupCount(all.size()));
        for (Instance i : instances.values()) {
            Set<InstanceId> group = new HashSet<>(all.keySet());
            group.removeIf(other -> !groups.get(other).equals(groups.get(i.id)));
            ReadinessSync sync = i.sync;
            at(ticker.millis() == 0 ? 0 : random.nextInt(MAX_VIEW_AGE_MS), () -> {
                if (groups.containsKey(i.id) && i.sync == sync && i.listVersion < version) {
                    i.listVersion = version;
                    sync.setGroup(group, all, i);
                }
            });
        }
    }

    void run(int ms) {
        for (long end = ticker.millis() + ms; ticker.millis() < end; ) {
            ticker.advance(Duration.ofMillis(STEP_MS));
            long now = ticker.millis();
            while (!events.isEmpty() && events.peek().atMs <= now) {
                events.poll().action.run();
            }
            List<Instance> rotation =
                    instances.values().stream().filter(i -> i.failedProbes < 2).toList();
            // If all probes fail, the platform sends calls to all.
            List<Instance> reached = rotation.isEmpty() ? new ArrayList<>(instances.values()) : rotation;
            double calls = callsPerS * instances.size() * STEP_MS / 1e3;
            for (int i = 0; i < (int) calls + (random.nextDouble() < calls % 1 ? 1 : 0); i++) {
                reached.get(random.nextInt(reached.size())).arrive();
            }
            instances.values().forEach(i -> i.step(now));
            check(now);
        }
    }

    private void check(long now) {
        List<Instance> unready =
                instances.values().stream().filter(i -> !i.isReady()).toList();
        maxUnready = Math.max(maxUnready, unready.size());
        if (unready.size() > instances.size() / 6) {
            violation = unready.size() + " unready at " + now;
        }
        // The other instance of a domain may end while one is unready.
        boolean settled = now - endedMs > UnreadyGrants.MAX_GRANT_MS;
        for (Instance i : unready) {
            if (settled && instances.values().stream().noneMatch(o -> o.domain.equals(i.domain) && o.isReady())) {
                violation = "nobody ready in " + i.domain + " at " + now;
            }
        }
    }
}
