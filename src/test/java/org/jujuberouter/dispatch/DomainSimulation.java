package org.jujuberouter.dispatch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;

/**
 * Instances of one group and their engines in several failure domains, on a virtual clock. Engines follow the cost model;
 * placed work is known to the other instances one message delay later.
 */
final class DomainSimulation {
    static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final double HOP_MS = 1.4;
    private static final double CONNECT_TIMEOUT_MS = 200;
    private static final double RETRY_MS = 10;

    /** Remaining time for which the caller of a rejected call sends it again. */
    private static final double MIN_USEFUL_MS = 100;

    /** Time for which an engine must have been idle to count as free; all instances know of it by then. */
    private static final double IDLE_KNOWN_MS = 25;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Random random;
    private final Random choices;
    private final DomainMode mode;
    private final double[] callsPerSecond;
    private final double longFraction;
    private final ServiceSpec spec;
    private final List<Instance> instances = new ArrayList<>();
    private final Map<EndpointId, Engine> engines = new HashMap<>();
    private final Set<Integer> cutOff = new HashSet<>();
    final List<Call> calls = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    private int eventCount;
    private final QueueMode queueMode;
    private final double hugeFraction;
    int rejectedBesideIdleEngine;

    private record Event(double atMs, int number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Integer.compare(number, other.number);
        }
    }

    static final class Call {
        final int domain;
        final double arrivedMs;
        CallRequirements requirements;
        private double enqueuedMs;
        double placedMs = Double.NaN;
        private double answeredMs = Double.POSITIVE_INFINITY;
        private final Set<EndpointId> tried = new HashSet<>();
        private boolean idleEngineLeft;
        AwayReason away = AwayReason.NONE;
        boolean left;
        boolean late = true;
        boolean gapTooLong;

        private Call(int domain, CallRequirements requirements, double arrivedMs) {
            this.domain = domain;
            this.requirements = requirements;
            this.arrivedMs = arrivedMs;
            this.enqueuedMs = arrivedMs;
        }

        /** Returns the value of the answer to its caller; 0 if it was rejected for good or not answered in time. */
        double value() {
            return answeredMs > arrivedMs + patienceMs()
                    ? 0
                    : requirements.lateValue() + (isOnTime() ? requirements.onTimeGain() : 0);
        }

        private double patienceMs() {
            return requirements.isShort() ? 2_000 : 10_000;
        }

        boolean isOnTime() {
            return !late && !gapTooLong;
        }
    }

    private static final class Engine {
        private final int domain;
        private final Map<RequestId, Call> running = new HashMap<>();
        private int underWay;
        private double prefillFreeAtMs;
        private double idleSinceMs;

        private Engine(int domain) {
            this.domain = domain;
        }
    }

    private final class Instance {
        private final int domain;
        private final EndpointRegistry registry = EndpointRegistry.empty(ticker);
        private final CallScheduler scheduler;
        private final CallQueue<Call> queue = CallQueue.empty(ticker);
        private boolean retryScheduled;
        private boolean deaf;

        private Instance(int domain) {
            this.domain = domain;
            this.scheduler = CallScheduler.on(registry, ticker, DomainPolicy.of(domainId(domain), mode), queueMode)
                    .behind(queue.ahead());
        }
    }

    /** Creates a deployment with the same number of instances and engines in each domain. */
    DomainSimulation(
            long seed, DomainMode mode, int instancesPerDomain, int enginesPerDomain, double longs, double... rates) {
        this(seed, mode, QueueMode.PREDICTED, instancesPerDomain, enginesPerDomain, longs, 0, rates);
    }

    /**
     * Creates a deployment with the same number of instances and engines in each domain.
     *
     * @param huge fraction of prompts that are larger than the memory of an engine
     */
    DomainSimulation(
            long seed,
            DomainMode mode,
            QueueMode queueMode,
            int instancesPerDomain,
            int enginesPerDomain,
            double longs,
            double huge,
            double... rates) {
        this.queueMode = queueMode;
        this.hugeFraction = huge;
        this.random = new Random(seed);
        // The same calls arrive whatever is decided about them.
        this.choices = huge > 0 ? new Random(seed + 1_000) : random;
        this.mode = mode;
        this.callsPerSecond = rates;
        this.longFraction = longs;
        Map<FailureDomain, Map<FailureDomain, Double>> delays = new HashMap<>();
        for (int a = 0; a < rates.length; a++) {
            for (int b = 0; b < rates.length; b++) {
                if (a != b) {
                    delays.computeIfAbsent(domainId(a), _ -> new HashMap<>()).put(domainId(b), HOP_MS);
                }
            }
        }
        this.spec = service(new DomainNetwork(delays, DomainNetwork.DEFAULT_COST_PER_MB / 1e6));
        for (int i = 0; i < instancesPerDomain * rates.length; i++) {
            instances.add(new Instance(i % rates.length));
        }
        instances.forEach(i -> i.scheduler.setSharers(instances.size()));
        for (int i = 0; i < enginesPerDomain * rates.length; i++) {
            EndpointId id = EndpointId.of("e" + i);
            engines.put(id, new Engine(i % rates.length));
            register(id, false, 0);
        }
    }

    static ServiceSpec service(DomainNetwork network) {
        EngineCostModel engine = new EngineCostModel(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048, network);
        return new ServiceSpec(SERVICE, "/health", 304, 4, Optional.of(engine));
    }

    static FailureDomain domainId(int domain) {
        return FailureDomain.of("z" + domain);
    }

    private void register(EndpointId id, boolean draining, long coldMs) {
        for (Instance instance : instances) {
            instance.registry.register(new Endpoint(
                    id,
                    SERVICE,
                    new InetSocketAddress("10.0.0.1", 80),
                    domainId(engines.get(id).domain),
                    11,
                    draining,
                    coldMs,
                    0));
        }
    }

    /** Registers the engines of a domain anew at the given time, as draining or with a cold start. */
    void registerDomainAt(double atMs, int domain, boolean draining, long coldMs) {
        at(
                atMs,
                () -> engines.forEach((id, e) -> {
                    if (e.domain == domain) {
                        register(id, draining, coldMs);
                    }
                }));
    }

    /** Makes one instance of a domain deaf to its peers, as after a change of groups that it has not seen yet. */
    DomainSimulation withDeafInstance(int domain) {
        instances.stream().filter(i -> i.domain == domain).findFirst().orElseThrow().deaf = true;
        return this;
    }

    void cutOffAt(double atMs, int domain, boolean isCutOff) {
        at(atMs, () -> {
            if (isCutOff) {
                cutOff.add(domain);
            } else {
                cutOff.remove(domain);
            }
        });
    }

    /** Runs until all calls that arrive before the given time have ended. */
    DomainSimulation run(double untilMs) {
        for (int domain = 0; domain < callsPerSecond.length; domain++) {
            scheduleArrival(domain, 2_000, untilMs);
        }
        while (!events.isEmpty()) {
            Event next = events.poll();
            ticker.advanceTo(Math.max(ticker.nanos(), (long) (next.atMs * 1e6)));
            next.action.run();
        }
        return this;
    }

    private double now() {
        return ticker.nanos() / 1e6;
    }

    private void at(double ms, Runnable action) {
        events.add(new Event(ms, eventCount++, action));
    }

    private void scheduleArrival(int domain, double afterMs, double untilMs) {
        double atMs = afterMs - Math.log(1 - random.nextDouble()) * 1_000 / callsPerSecond[domain];
        if (atMs < untilMs) {
            at(atMs, () -> {
                arrive(domain);
                scheduleArrival(domain, atMs, untilMs);
            });
        }
    }

    private void arrive(int domain) {
        RequestId id = RequestId.of("c" + calls.size() + "-" + random.nextInt(1_000_000));
        CallRequirements requirements = hugeFraction > 0 && random.nextDouble() < hugeFraction
                ? new CallRequirements(id, SERVICE, 260_000 + random.nextInt(140_000), 700, 2_500, 1_000, 10_000)
                        .withRequestBytes(1_000_000)
                : random.nextDouble() < longFraction
                        ? new CallRequirements(id, SERVICE, 40_000 + random.nextInt(120_000), 700, 2_500, 1_000, 10_000)
                                .withRequestBytes(30_000)
                        : new CallRequirements(id, SERVICE, 2_000 + random.nextInt(6_000), 900, 300, 250, 2_000)
                                .withRequestBytes(4_000);
        Call call = new Call(domain, requirements, now());
        calls.add(call);
        offer(call);
    }

    /** Sends a call to an instance of its domain; its caller leaves at the end of its patience. */
    private void offer(Call call) {
        List<Instance> own =
                instances.stream().filter(i -> i.domain == call.domain).toList();
        Instance instance = own.get(choices.nextInt(own.size()));
        call.enqueuedMs = now();
        instance.queue.add(call, call.requirements, ticker.nanos());
        if (hugeFraction > 0) {
            at(call.arrivedMs + call.patienceMs(), () -> instance.queue.remove(call));
        }
        dispatch(instance);
    }

    /** Has the caller of a rejected call send it again, with the time that it still waits. */
    private void offerAgain(Call call, long afterMs) {
        double remainingMs = call.arrivedMs + call.patienceMs() - now() - afterMs;
        if (hugeFraction == 0 || remainingMs < MIN_USEFUL_MS) {
            return;
        }
        at(now() + afterMs, () -> {
            CallRequirements r = call.requirements;
            call.requirements = new CallRequirements(
                    r.id(), SERVICE, r.promptTokens(), r.outputTokens(), r.objectiveMs(), r.gapObjectiveMs(), (long)
                            remainingMs);
            offer(call);
        });
    }

    private void dispatch(Instance instance) {
        instance.queue.dispatch(call -> place(instance, call));
        if (instance.queue.size() > 0 && !instance.retryScheduled) {
            instance.retryScheduled = true;
            at(now() + RETRY_MS, () -> {
                instance.retryScheduled = false;
                dispatch(instance);
            });
        }
    }

    private boolean place(Instance instance, Call call) {
        double waitedMs = now() - call.enqueuedMs;
        PlacementDecision decision = instance.scheduler.place(call.requirements, spec, call.tried, waitedMs);
        boolean late = decision instanceof PlacementDecision.Refuse
                || decision instanceof PlacementDecision.Send send
                        && waitedMs + send.predictedFirstEventMs() > call.requirements.objectiveMs();
        if (decision instanceof PlacementDecision.Wait || late) {
            call.idleEngineLeft |= couldBeServedByAnIdleEngine(instance, call, waitedMs);
        }
        if (late && call.idleEngineLeft) {
            violations.add(call.requirements + " of domain " + call.domain + ": " + decision);
        }
        if (decision instanceof PlacementDecision.Send send) {
            call.placedMs = now();
            send(instance, call, send);
        } else if (decision instanceof PlacementDecision.Refuse refuse) {
            rejectedBesideIdleEngine += couldBeServedByAnIdleEngine(instance, call, waitedMs) ? 1 : 0;
            offerAgain(call, refuse.retryAfterMs());
        }
        return !(decision instanceof PlacementDecision.Wait);
    }

    private boolean couldBeServedByAnIdleEngine(Instance instance, Call call, double waitedMs) {
        EngineCostModel model = spec.engine().orElseThrow();
        long tokens = call.requirements.promptTokens();
        double firstEventMs = model.prefillMs(tokens) + model.decodeIterationMs(1, tokens) + 2 * HOP_MS;
        double dueMs = Math.min(call.requirements.objectiveMs() * 0.85, call.requirements.callerTimeoutMs());
        return waitedMs + firstEventMs < dueMs
                && instance.registry.usable(SERVICE).stream().anyMatch(e -> {
                    Engine engine = engines.get(e.registration().id());
                    return engine.underWay == 0
                            && engine.running.isEmpty()
                            && Math.max(engine.prefillFreeAtMs, engine.idleSinceMs) + IDLE_KNOWN_MS < now()
                            && reaches(instance.domain, engine.domain)
                            && !e.isBackedOff(ticker.nanos())
                            && !e.isColdLimitReached(4, ticker.nanos())
                            && !e.domain().isAvoided(ticker.nanos());
                });
    }

    private boolean reaches(int from, int to) {
        return from == to || !cutOff.contains(from) && !cutOff.contains(to);
    }

    private void send(Instance instance, Call call, PlacementDecision.Send send) {
        TrackedEndpoint endpoint = send.endpoint();
        EndpointId id = endpoint.registration().id();
        Engine engine = engines.get(id);
        call.tried.add(id);
        call.away = send.away();
        call.left = engine.domain != call.domain;
        instance.registry.allocate(send.allocations());
        tellPeers(instance, peer -> peer.registry.allocate(send.allocations()));
        if (!reaches(instance.domain, engine.domain)) {
            at(now() + CONNECT_TIMEOUT_MS, () -> {
                endpoint.recordFailure(ticker.nanos());
                endpoint.domain().recordUnreachable(id, ticker.nanos());
                placeAgain(instance, call);
            });
            return;
        }
        engine.underWay++;
        double sentMs = now();
        at(now() + (call.left ? HOP_MS : 0), () -> {
            engine.underWay--;
            if (engine.running.size() >= 11) {
                endpoint.markFull(ticker.nanos());
                placeAgain(instance, call);
                return;
            }
            begin(instance, call, send, engine, sentMs);
        });
    }

    private void placeAgain(Instance instance, Call call) {
        end(instance, call);
        instance.queue.add(call, call.requirements, (long) (call.enqueuedMs * 1e6));
        dispatch(instance);
    }

    private void begin(Instance instance, Call call, PlacementDecision.Send send, Engine engine, double sentMs) {
        EngineCostModel model = spec.engine().orElseThrow();
        double firstMs = 0;
        for (Allocation part : send.allocations()) {
            Engine at = engines.get(part.endpoint());
            double prefillMs = part.prefillMs() * (1 + 0.05 * choices.nextDouble());
            at.prefillFreeAtMs = Math.max(now(), at.prefillFreeAtMs) + prefillMs;
            double iterationMs = model.decodeIterationMs(at.running.size() + 1, at.running.size() * 8_000L);
            double gapMs = at.prefillFreeAtMs - now() + iterationMs;
            at.running.values().forEach(c -> c.gapTooLong |= gapMs > c.requirements.gapObjectiveMs());
            firstMs = Math.max(firstMs, at.prefillFreeAtMs + iterationMs * (at.running.isEmpty() ? 1 : 1.7));
        }
        engine.running.put(call.requirements.id(), call);
        double predictedMs = send.predictedFirstEventMs();
        double receivedMs = firstMs + (call.left ? HOP_MS : 0);
        at(receivedMs, () -> {
            call.answeredMs = receivedMs;
            call.late = receivedMs - call.arrivedMs > call.requirements.objectiveMs();
            TrackedEndpoint endpoint = send.endpoint();
            instance.registry.recordReached(call.requirements.id());
            endpoint.recordSuccess();
            instance.registry.prefillDone(call.requirements.id());
            double delayMs = receivedMs - sentMs - predictedMs;
            if (endpoint.needsReport(delayMs, ticker.nanos())) {
                tellPeers(instance, peer -> peer.registry.prefillDone(call.requirements.id()));
            }
            endpoint.recordFirstEventDelay(delayMs, ticker.nanos());
        });
        double iterations = Math.ceil(call.requirements.outputTokens() / 43.0);
        double decodeMs = iterations * model.decodeIterationMs(engine.running.size(), engine.running.size() * 8_000L);
        at(firstMs + decodeMs, () -> {
            engine.running.remove(call.requirements.id());
            engine.idleSinceMs = now();
            end(instance, call);
            dispatch(instance);
        });
    }

    private void end(Instance instance, Call call) {
        instance.registry.release(call.requirements.id());
        tellPeers(instance, peer -> peer.registry.release(call.requirements.id()));
    }

    private void tellPeers(Instance instance, Consumer<Instance> message) {
        for (Instance peer : instances) {
            if (peer != instance && !peer.deaf && reaches(instance.domain, peer.domain)) {
                at(now() + 0.3 + (peer.domain == instance.domain ? 0 : HOP_MS), () -> message.accept(peer));
            }
        }
    }

    /** Returns the share of the selected calls that fulfil the condition. */
    double share(Predicate<Call> selected, Predicate<Call> condition) {
        List<Call> of = calls.stream().filter(selected).toList();
        return of.stream().filter(condition).count() / (double) of.size();
    }
}
