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
 * Runs arrivals through instances, gates and engines in virtual time.
 *
 * <p>The time jumps from event to event: the next step of an engine, the next arrival or the next report. Each message
 * takes a millisecond, so that four pass before an engine has the request and two before the caller has the first token.
 */
final class VirtualFleet {
    private static final long MESSAGE_NANOS = Duration.ofMillis(1).toNanos();
    /** A request that a gate can never admit would otherwise keep the run going for ever. */
    private static final long MAX_DRAIN_NANOS = Duration.ofHours(1).toNanos();

    private static final long REPORT_NANOS = Duration.ofMillis(500).toNanos();
    private static final long REQUEST_DIRECTIONS = 4;
    private static final long ANSWER_DIRECTIONS = 2;

    private final FleetSetup setup;
    private final ManualTicker ticker = ManualTicker.atZero();
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<EndpointId, Node> byId = new HashMap<>();
    private final List<RoutingPolicy> instances = new ArrayList<>();
    private final Measurement measurement;
    private long nextEvent;
    private int open;
    private long stopNanos;

    private record Event(long nanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return nanos != o.nanos ? Long.compare(nanos, o.nanos) : Long.compare(order, o.order);
        }
    }

    /** An engine with its gate. */
    private final class Node implements EngineListener {
        private final EndpointId id;
        private final EngineModel engine;
        private final EngineGate gate;
        private final Map<RequestId, Flight> flights = new HashMap<>();
        private long cacheSequence;

        private Node(EndpointSpec spec, int index, long seed) {
            this.id = spec.id();
            this.engine = EngineModel.warm(FleetSetup.settings(index, seed), ticker, LoadedModel.any(), this);
            this.gate = new EngineGate(spec.kvTokens(), setup.lanes());
        }

        @Override
        public void firstToken(RequestStatus status) {
            Flight flight = flights.get(status.id());
            flight.firstNanos = status.firstTokenNanos();
            flight.cached = status.cached();
            flight.sent.prefilled();
            gate.prefilled(flight.entry);
        }

        @Override
        public void completed(RequestStatus status) {
            Flight flight = flights.remove(status.id());
            engine.cancel(status.id());
            flight.sent.ended();
            gate.ended(flight.entry);
            measurement.completed(
                    flight.arrival,
                    flight.firstNanos + ANSWER_DIRECTIONS * MESSAGE_NANOS,
                    ticker.nanos(),
                    flight.firstNanos,
                    flight.cached);
            open--;
        }

        @Override
        public void down(String reason) {
            throw new IllegalStateException(id + " went down: " + reason);
        }
    }

    /** A request on its way. */
    private static final class Flight {
        private final Workload.Arrival arrival;
        private EngineGate.Entry entry;
        private SentRequest sent;
        private long firstNanos;
        private long cached;

        private Flight(Workload.Arrival arrival) {
            this.arrival = arrival;
        }
    }

    private VirtualFleet(FleetSetup setup, long seed, long measureFromNanos) {
        this.setup = setup;
        this.random = new SplittableRandom(seed);
        this.measurement = new Measurement(measureFromNanos);
        List<EndpointSpec> endpoints = setup.endpoints();
        for (int i = 0; i < endpoints.size(); i++) {
            Node node = new Node(endpoints.get(i), i, seed);
            nodes.add(node);
            byId.put(node.id, node);
        }
        for (int i = 0; i < FleetSetup.INSTANCES; i++) {
            instances.add(policy(i, random.nextLong(), endpoints));
        }
    }

    private RoutingPolicy policy(int instance, long seed, List<EndpointSpec> endpoints) {
        if (!setup.choice().isEmpty()) {
            return new BaselinePolicy(BaselinePolicy.Choice.valueOf(setup.choice()), ticker, seed, endpoints);
        }
        RoutingSettings settings =
                RoutingSettings.in(FleetSetup.domain(instance)).withLongSubset(setup.longSubset());
        Router router = Router.of(settings, ticker, seed);
        endpoints.forEach(router::putEndpoint);
        return new RouterPolicy(router, setup.cacheEvents());
    }

    /** Runs all arrivals to their end; the first fifth fills the caches and is not measured. */
    static Measurement run(FleetSetup setup, long seed, List<Workload.Arrival> arrivals) {
        long from = arrivals.get(arrivals.size() / 5).nanos();
        VirtualFleet fleet = new VirtualFleet(setup, seed, from);
        for (Workload.Arrival arrival : arrivals) {
            fleet.at(arrival.nanos() + REQUEST_DIRECTIONS * MESSAGE_NANOS, () -> fleet.arrive(arrival));
        }
        fleet.open = arrivals.size();
        fleet.stopNanos = arrivals.getLast().nanos() + MAX_DRAIN_NANOS;
        fleet.at(REPORT_NANOS, () -> fleet.report(arrivals.getLast().nanos()));
        fleet.runEvents();
        return fleet.measurement;
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, nextEvent++, action));
    }

    private void runEvents() {
        while (open > 0) {
            if (ticker.nanos() > stopNanos) {
                throw new IllegalStateException(open + " requests did not end within an hour");
            }
            long next = events.isEmpty() ? Long.MAX_VALUE : events.peek().nanos;
            for (Node node : nodes) {
                next = Math.min(next, node.engine.nextEventNanos());
            }
            ticker.advanceTo(Math.max(next, ticker.nanos()));
            for (Node node : nodes) {
                if (node.engine.nextEventNanos() <= next) {
                    node.engine.advance();
                }
            }
            while (!events.isEmpty() && events.peek().nanos <= next) {
                events.poll().action.run();
            }
        }
    }

    private void arrive(Workload.Arrival arrival) {
        RoutingPolicy instance = instances.get(random.nextInt(instances.size()));
        RouteRequest request =
                RouteRequest.of(FleetSetup.MODEL, arrival.promptTokens(), arrival.maxAnswerTokens(), arrival.blocks());
        List<EndpointId> candidates = instance.choose(request);
        if (candidates.isEmpty()) {
            measurement.refused();
            open--;
            return;
        }
        Flight flight = new Flight(arrival);
        for (EndpointId candidate : candidates) {
            if (offer(byId.get(candidate), instance, request, flight)) {
                return;
            }
        }
        Node first = byId.get(candidates.getFirst());
        flight.entry = entry(first, request, flight);
        flight.sent = instance.sent(first.id, request);
        first.gate.await(flight.entry);
    }

    private boolean offer(Node node, RoutingPolicy instance, RouteRequest request, Flight flight) {
        flight.entry = entry(node, request, flight);
        flight.sent = instance.sent(node.id, request);
        if (node.gate.tryStart(flight.entry)) {
            return true;
        }
        flight.sent.ended();
        return false;
    }

    private EngineGate.Entry entry(Node node, RouteRequest request, Flight flight) {
        return new EngineGate.Entry(
                request.promptTokens(), request.promptTokens() + request.maxAnswerTokens(), () -> submit(node, flight));
    }

    private void submit(Node node, Flight flight) {
        RequestId id = RequestId.of("r" + nextEvent++);
        int priority = setup.lanes()
                ? PromptSize.ofPrompt(flight.arrival.promptTokens()).ordinal()
                : 0;
        node.flights.put(id, flight);
        try {
            node.engine.submit(EngineRequest.of(
                    id,
                    priority,
                    flight.arrival.promptTokens(),
                    flight.arrival.blocks(),
                    flight.arrival.answerTokens()));
        } catch (EngineModelException e) {
            throw new IllegalStateException(e);
        }
    }

    private void report(long until) {
        int[] requests = new int[nodes.size()];
        for (int i = 0; i < nodes.size(); i++) {
            requests[i] = reportOf(nodes.get(i));
        }
        if (ticker.nanos() <= until) {
            measurement.sampled(ticker.nanos(), requests);
        }
        at(ticker.nanos() + REPORT_NANOS, () -> report(until));
    }

    private static ReportedLoad.Pending pending(LoadReport load, EngineGate gate) {
        return new ReportedLoad.Pending(
                load.pendingPrefillTokens().getOrDefault(0, 0L) + gate.waitingTokens(PromptSize.SHORT),
                load.pendingPrefillTokens().getOrDefault(1, 0L) + gate.waitingTokens(PromptSize.MEDIUM),
                load.pendingPrefillTokens().getOrDefault(2, 0L) + gate.waitingTokens(PromptSize.LONG));
    }

    private int reportOf(Node node) {
        LoadReport load = node.engine.load().orElseThrow();
        ReportedLoad reported = new ReportedLoad(
                load.takenNanos(),
                load.running() + load.waiting() + node.gate.waitingRequests(),
                EngineGate.MAX_REQUESTS,
                pending(load, node.gate),
                load.kvTokens());
        List<CacheEvent> changes = node.engine.cacheEvents(node.cacheSequence);
        for (RoutingPolicy instance : instances) {
            instance.reportLoad(node.id, reported);
            changes.forEach(c -> instance.cacheEvent(node.id, c));
        }
        if (!changes.isEmpty()) {
            node.cacheSequence = changes.getLast().sequence();
        }
        return node.flights.size() + node.gate.waitingRequests();
    }
}
