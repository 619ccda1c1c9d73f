package org.jujuberouter.ownership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.membership.Membership;
import org.jujuberouter.misc.ManualTicker;

/** Simulates instances, engines, the store and the platform's list on a virtual clock; deterministic for a seed. */
final class FleetSimulation {
    final ManualTicker ticker = ManualTicker.atZero();
    final SimulatedStore store;
    final Map<EndpointId, SimulatedEngine> engines = new LinkedHashMap<>();
    final Map<InstanceId, SimulatedInstance> instances = new TreeMap<>();
    final Random random;
    long listLagMs = 3_000;
    long arrivalIntervalMs = 40;

    /** Whether to run the baseline, in which no instance owns an endpoint. */
    boolean baseline;

    /** Links {@code sender-receiver} between instances on which messages are lost. */
    final Set<String> blockedLinks = new HashSet<>();

    /** Live instances that the platform's list omits. */
    final Set<InstanceId> unlisted = new HashSet<>();

    /** Endpoints that are drained by a setting; an instance knows them from its start. */
    final Set<EndpointId> drained = new HashSet<>();

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<InstanceId, Long> crashedAt = new HashMap<>();
    private final long stepMs;
    private long sequence;
    private int requests;

    FleetSimulation(long seed, int size, int engineCount, long stepMs) {
        random = new Random(seed);
        store = new SimulatedStore(ticker, seed);
        this.stepMs = stepMs;
        for (int i = 0; i < engineCount; i++) {
            EndpointId id = EndpointId.of("engine-" + i);
            engines.put(id, new SimulatedEngine(id));
        }
        for (int i = 0; i < size; i++) {
            start(InstanceId.of("instance-" + i));
        }
    }

    List<EndpointId> endpoints() {
        return List.copyOf(engines.keySet());
    }

    long nowMs() {
        return ticker.millis();
    }

    /** Returns the owner of the endpoint, or a random instance if there is none. */
    SimulatedInstance ownerOf(EndpointId endpoint) {
        List<SimulatedInstance> all = List.copyOf(instances.values());
        return all.stream()
                .filter(i -> i.ownership.status(endpoint) instanceof OwnershipStatus.Owner)
                .findFirst()
                .orElseGet(() -> all.get(random.nextInt(all.size())));
    }

    /** Returns whether one owner may use the whole bound. */
    boolean fullyOwned(EndpointId endpoint) {
        var status = ownerOf(endpoint).ownership.status(endpoint);
        return status instanceof OwnershipStatus.Owner owner && !owner.lapsed() && owner.exclusive();
    }

    private void start(InstanceId id) {
        instances.put(id, new SimulatedInstance(this, id, random.nextLong()));
        crashedAt.remove(id);
    }

    /** Kills an instance; a new process with the same id starts after {@code restartMs}. */
    void kill(SimulatedInstance instance, long restartMs) {
        if (!instance.dead) {
            instance.dead = true;
            crashedAt.put(instance.id, nowMs());
            schedule(nowMs() + restartMs, null, () -> start(instance.id));
        }
    }

    void pause(SimulatedInstance instance, long ms) {
        instance.paused = true;
        schedule(nowMs() + ms, null, () -> {
            instance.paused = false;
            List<Runnable> deferred = List.copyOf(instance.deferred);
            instance.deferred.clear();
            deferred.forEach(Runnable::run);
        });
    }

    void schedule(long ms, SimulatedInstance on, Runnable action) {
        events.add(new Event(ms, sequence++, on, action));
    }

    /** Sends a message; it is deferred while the sender or receiver is paused and lost if the receiver is dead. */
    void send(SimulatedInstance from, InstanceId to, Consumer<SimulatedInstance> message) {
        SimulatedInstance target = instances.get(to);
        if (from != null && from.paused) {
            from.deferred.add(() -> send(from, to, message));
        } else if (target != null && (from == null || !blockedLinks.contains(from.id + "-" + to))) {
            schedule(nowMs() + 1 + random.nextInt(12), target, () -> message.accept(target));
        }
    }

    void sendToEngine(SimulatedInstance from, Runnable action) {
        if (from.paused) {
            from.deferred.add(() -> sendToEngine(from, action));
        } else {
            schedule(nowMs() + 1 + random.nextInt(12), null, action);
        }
    }

    void run(SimulatedEngine engine, Permit permit, Consumer<PermitEnd> ended) {
        long serviceMs = 200 + random.nextInt(3_000) + permit.request().tokens() / 50;
        var work = new SimulatedEngine.RunningRequest(permit, nowMs() + serviceMs / 2, ended);
        engine.start(work, nowMs());
        schedule(nowMs() + serviceMs, null, () -> {
            if (engine.running.remove(permit.id(), work)) {
                ended.accept(PermitEnd.COMPLETED);
            }
        });
    }

    void runUntil(long endMs) {
        while (nowMs() < endMs) {
            ticker.advance(Duration.ofMillis(stepMs));
            store.step();
            while (!events.isEmpty() && events.peek().atMs <= nowMs()) {
                Event event = events.poll();
                if (event.on != null && event.on.paused) {
                    event.on.deferred.add(event.action);
                } else if (event.on == null || !event.on.dead) {
                    event.action.run();
                }
            }
            if (arrivalIntervalMs > 0 && random.nextLong(Math.max(1, arrivalIntervalMs / stepMs)) == 0) {
                submitRequest();
            }
            for (SimulatedInstance instance : instances.values()) {
                long phase = nowMs() + Math.floorMod(instance.id.hashCode(), 10) * 100L;
                if (!instance.paused && !instance.dead && phase % 100 < stepMs) {
                    runPeriodicTasks(instance, phase % 1_000 < 100);
                }
            }
        }
    }

    private void runPeriodicTasks(SimulatedInstance instance, boolean everySecond) {
        if (!baseline) {
            instance.tick();
        }
        instance.membership.tick();
        if (everySecond) {
            instance.heartbeat();
            instance.membership.listReceived(instances.keySet().stream()
                    .filter(id -> !unlisted.contains(id) && nowMs() - crashedAt.getOrDefault(id, nowMs()) < listLagMs)
                    .map(id -> new Membership.ListedInstance(id, SimulatedInstance.DOMAIN, "address", false))
                    .toList());
            if (!baseline) {
                instance.pollEngines();
            }
            engines.values()
                    .forEach(e -> sendToEngine(instance, () -> {
                        long slots = e.up(nowMs()) ? e.capacity(nowMs()).slots() : 0;
                        instance.baselineFreeSlots.put(e.id, slots - e.running.size());
                    }));
        }
    }

    private void submitRequest() {
        SimulatedInstance instance = List.copyOf(instances.values()).get(random.nextInt(instances.size()));
        int kind = random.nextInt(100);
        long tokens = kind < 80 ? 1_000 + random.nextInt(7_000) : kind < 95 ? 10_000 + random.nextInt(50_000) : 150_000;
        CustomerId customer = CustomerId.of("customer-" + random.nextInt(4));
        EndpointId endpoint = endpoints().get(random.nextInt(engines.size()));
        RequestId id = RequestId.of("request-" + requests++);
        long deadline = ticker.nanos() + 8_000_000_000L;
        if (instance.dead
                || instance.paused
                || (!baseline && instance.registration.processIncarnation().isEmpty())) {
            return;
        }
        Incarnation holder = instance.registration.processIncarnation().orElse(Incarnation.of(instance.id, 1));
        var request = new PermitRequest(
                id, holder, customer, 1, PromptClass.of(tokens), tokens, Fingerprint.of(id.value()), false, deadline);
        if (baseline) {
            sendToLeastLoaded(instance, request);
        } else {
            instance.requestPermit(request, endpoint);
        }
    }

    /**
     * Baseline: sends to the engine with the most free slots by the last reports and this instance's own sends since.
     */
    private void sendToLeastLoaded(SimulatedInstance instance, PermitRequest request) {
        var best = instance.baselineFreeSlots.entrySet().stream().max(Map.Entry.comparingByValue());
        best.filter(e -> e.getValue() > 0).ifPresent(e -> {
            e.setValue(e.getValue() - 1);
            SimulatedEngine engine = engines.get(e.getKey());
            sendToEngine(instance, () -> {
                if (engine.up(nowMs())) {
                    run(engine, new Permit(request, 0, 0, 0), _ -> {});
                }
            });
        });
    }

    private record Event(long atMs, long sequence, SimulatedInstance on, Runnable action) {}
}
