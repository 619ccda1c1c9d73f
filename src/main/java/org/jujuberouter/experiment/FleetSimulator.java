package org.jujuberouter.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.routing.EndpointSpec;
import org.jujuberouter.routing.PromptSize;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.RoutingSettings;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.standin.model.CacheEvent;
import org.jujuberouter.standin.model.EngineListener;
import org.jujuberouter.standin.model.EngineModel;
import org.jujuberouter.standin.model.EngineModelException;
import org.jujuberouter.standin.model.EngineRequest;
import org.jujuberouter.standin.model.LoadReport;
import org.jujuberouter.standin.model.LoadedModel;
import org.jujuberouter.standin.model.RequestStatus;

/**
 * A discrete-event simulation of instances, the admission control of engines, and engines.
 *
 * <p>The virtual clock jumps to the next event: a step of an engine, an arrival or a load report. A message takes 1 ms.
 * A request reaches its engine after four messages, and the first token reaches the caller after two.
 */
final class FleetSimulator {
    private static final long MESSAGE_NANOS = Duration.ofMillis(1).toNanos();
    /** Ends a run in which a queued request can never be admitted. */
    private static final long MAX_DRAIN_NANOS = Duration.ofHours(1).toNanos();

    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REQUEST_MESSAGES = 4;
    private static final long RESPONSE_MESSAGES = 2;

    private final FleetConfig config;
    private final ManualTicker ticker = ManualTicker.atZero();
    private final SplittableRandom random;
    private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>();
    private final List<EngineNode> nodes = new ArrayList<>();
    private final Map<EndpointId, EngineNode> nodesById = new HashMap<>();
    private final List<RoutingPolicy> instances = new ArrayList<>();
    private final SimulationMetrics metrics;
    private long nextSequence;
    private int openRequests;
    private long stopNanos;

    private record SimulationEvent(long nanos, long sequence, Runnable action) implements Comparable<SimulationEvent> {
        @Override
        public int compareTo(SimulationEvent other) {
            return nanos != other.nanos ? Long.compare(nanos, other.nanos) : Long.compare(sequence, other.sequence);
        }
    }

    /** An engine with its admission control. */
    private final class EngineNode implements EngineListener {
        private final EndpointId id;
        private final EngineModel engine;
        private final EngineAdmissionControl admissionControl;
        private final Map<RequestId, RoutedRequest> inFlight = new HashMap<>();
        private long cacheSequence;

        private EngineNode(EndpointSpec spec, int index, long seed) {
            this.id = spec.id();
            this.engine = EngineModel.warm(FleetConfig.settings(index, seed), ticker, LoadedModel.any(), this);
            this.admissionControl = new EngineAdmissionControl(spec.kvTokens(), config.isolateSizes());
        }

        @Override
        public void firstToken(RequestStatus status) {
            RoutedRequest routed = inFlight.get(status.id());
            routed.firstTokenNanos = status.firstTokenNanos();
            routed.cachedTokens = status.cached();
            routed.sentRequest.prefilled();
            admissionControl.prefillCompleted(routed.admission);
        }

        @Override
        public void completed(RequestStatus status) {
            RoutedRequest routed = inFlight.remove(status.id());
            engine.cancel(status.id());
            routed.sentRequest.ended();
            admissionControl.requestCompleted(routed.admission);
            metrics.recordCompleted(
                    routed.arrival,
                    routed.firstTokenNanos + RESPONSE_MESSAGES * MESSAGE_NANOS,
                    ticker.nanos(),
                    routed.firstTokenNanos,
                    routed.cachedTokens);
            openRequests--;
        }

        @Override
        public void down(String reason) {
            throw new IllegalStateException(id + " went down: " + reason);
        }
    }

    /** A request that was routed to an engine, queued or running. */
    private static final class RoutedRequest {
        private final Workload.Arrival arrival;
        private EngineAdmissionControl.AdmissionRequest admission;
        private SentRequest sentRequest;
        private long firstTokenNanos;
        private long cachedTokens;

        private RoutedRequest(Workload.Arrival arrival) {
            this.arrival = arrival;
        }
    }

    private FleetSimulator(FleetConfig config, long seed, long measureFromNanos) {
        this.config = config;
        this.random = new SplittableRandom(seed);
        this.metrics = new SimulationMetrics(measureFromNanos);
        List<EndpointSpec> endpoints = config.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            EngineNode node = new EngineNode(endpoints.get(i), i, seed);
            nodes.add(node);
            nodesById.put(node.id, node);
        }
        for (int i = 0; i < FleetConfig.INSTANCES; i++) {
            instances.add(createPolicy(i, random.nextLong(), endpoints));
        }
    }

    private RoutingPolicy createPolicy(int instance, long seed, List<EndpointSpec> endpoints) {
        if (!config.baselineStrategy().isEmpty()) {
            return new BaselinePolicy(
                    BaselinePolicy.Strategy.valueOf(config.baselineStrategy()), ticker, seed, endpoints);
        }
        RoutingSettings settings =
                RoutingSettings.in(FleetConfig.domain(instance)).withLongSubset(config.longSubset());
        Router router = Router.of(settings, ticker, seed);
        endpoints.forEach(router::putEndpoint);
        return new RouterPolicy(router, config.cacheEvents());
    }

    /** Simulates all arrivals to completion. The first fifth warms up the caches and is not measured. */
    static SimulationMetrics run(FleetConfig config, long seed, List<Workload.Arrival> arrivals) {
        long measureFromNanos = arrivals.get(arrivals.size() / 5).nanos();
        FleetSimulator simulator = new FleetSimulator(config, seed, measureFromNanos);
        for (Workload.Arrival arrival : arrivals) {
            simulator.schedule(arrival.nanos() + REQUEST_MESSAGES * MESSAGE_NANOS, () -> simulator.route(arrival));
        }
        simulator.openRequests = arrivals.size();
        simulator.stopNanos = arrivals.getLast().nanos() + MAX_DRAIN_NANOS;
        simulator.schedule(
                REPORT_INTERVAL_NANOS,
                () -> simulator.publishLoads(arrivals.getLast().nanos()));
        simulator.runEvents();
        return simulator.metrics;
    }

    private void schedule(long nanos, Runnable action) {
        events.add(new SimulationEvent(nanos, nextSequence++, action));
    }

    private void runEvents() {
        while (openRequests > 0) {
            if (ticker.nanos() > stopNanos) {
                throw new IllegalStateException(
                        openRequests + " requests not completed an hour after the last arrival");
            }
            long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().nanos;
            for (EngineNode node : nodes) {
                next = Math.min(next, node.engine.nextEventNanos());
            }
            ticker.advanceTo(Math.max(next, ticker.nanos()));
            for (EngineNode node : nodes) {
                if (node.engine.nextEventNanos() <= next) {
                    node.engine.advance();
                }
            }
            while (!events.isEmpty() && events.peek().nanos <= next) {
                events.poll().action.run();
            }
        }
    }

    private void route(Workload.Arrival arrival) {
        RoutingPolicy instance = instances.get(random.nextInt(instances.size()));
        RouteRequest request =
                RouteRequest.of(FleetConfig.MODEL, arrival.promptTokens(), arrival.maxAnswerTokens(), arrival.blocks());
        List<EndpointId> candidates = instance.choose(request);
        if (candidates.isEmpty()) {
            metrics.recordRefused();
            openRequests--;
            return;
        }
        RoutedRequest routed = new RoutedRequest(arrival);
        for (EndpointId candidate : candidates) {
            if (tryAdmit(nodesById.get(candidate), instance, request, routed)) {
                return;
            }
        }
        EngineNode first = nodesById.get(candidates.getFirst());
        routed.admission = admissionRequest(first, request, routed);
        routed.sentRequest = instance.recordSent(first.id, request);
        first.admissionControl.enqueue(routed.admission);
    }

    private boolean tryAdmit(EngineNode node, RoutingPolicy instance, RouteRequest request, RoutedRequest routed) {
        routed.admission = admissionRequest(node, request, routed);
        routed.sentRequest = instance.recordSent(node.id, request);
        if (node.admissionControl.tryAdmit(routed.admission)) {
            return true;
        }
        routed.sentRequest.ended();
        return false;
    }

    private EngineAdmissionControl.AdmissionRequest admissionRequest(
            EngineNode node, RouteRequest request, RoutedRequest routed) {
        return new EngineAdmissionControl.AdmissionRequest(
                request.promptTokens(), request.promptTokens() + request.maxAnswerTokens(), () -> submit(node, routed));
    }

    private void submit(EngineNode node, RoutedRequest routed) {
        RequestId id = RequestId.of("r" + nextSequence++);
        int priority = config.isolateSizes()
                ? PromptSize.ofPrompt(routed.arrival.promptTokens()).ordinal()
                : 0;
        node.inFlight.put(id, routed);
        try {
            node.engine.submit(EngineRequest.of(
                    id,
                    priority,
                    routed.arrival.promptTokens(),
                    routed.arrival.blocks(),
                    routed.arrival.answerTokens()));
        } catch (EngineModelException e) {
            throw new IllegalStateException(e);
        }
    }

    private void publishLoads(long lastArrivalNanos) {
        int[] outstanding = new int[nodes.size()];
        for (int i = 0; i < nodes.size(); i++) {
            outstanding[i] = publishLoad(nodes.get(i));
        }
        if (ticker.nanos() <= lastArrivalNanos) {
            metrics.recordLoad(ticker.nanos(), outstanding);
        }
        schedule(ticker.nanos() + REPORT_INTERVAL_NANOS, () -> publishLoads(lastArrivalNanos));
    }

    private static ReportedLoad.Pending pendingTokens(LoadReport load, EngineAdmissionControl admissionControl) {
        return new ReportedLoad.Pending(
                load.pendingPrefillTokens().getOrDefault(0, 0L) + admissionControl.queuedPromptTokens(PromptSize.SHORT),
                load.pendingPrefillTokens().getOrDefault(1, 0L)
                        + admissionControl.queuedPromptTokens(PromptSize.MEDIUM),
                load.pendingPrefillTokens().getOrDefault(2, 0L) + admissionControl.queuedPromptTokens(PromptSize.LONG));
    }

    private int publishLoad(EngineNode node) {
        LoadReport load = node.engine.load().orElseThrow();
        ReportedLoad reported = new ReportedLoad(
                load.takenNanos(),
                load.running() + load.waiting() + node.admissionControl.queuedRequests(),
                EngineAdmissionControl.MAX_REQUESTS,
                pendingTokens(load, node.admissionControl),
                load.kvTokens());
        List<CacheEvent> cacheEvents = node.engine.cacheEvents(node.cacheSequence);
        for (RoutingPolicy instance : instances) {
            instance.reportLoad(node.id, reported);
            cacheEvents.forEach(c -> instance.cacheEvent(node.id, c));
        }
        if (!cacheEvents.isEmpty()) {
            node.cacheSequence = cacheEvents.getLast().sequence();
        }
        return node.inFlight.size() + node.admissionControl.queuedRequests();
    }
}
