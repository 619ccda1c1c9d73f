package org.jujuberouter.experiment;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.routing.EndpointSpec;
import org.jujuberouter.routing.PromptSize;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.RoutingSettings;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.standin.model.CacheEvent;

/** The policies to compare with; they see the same reports and correct them by what they sent, but know no cache. */
final class BaselinePolicy implements RoutingPolicy {
    private static final double REQUEST_COST = 64;

    /** The ways to choose. */
    enum Choice {
        RANDOM,
        TWO_CHOICES,
        LEAST_LOADED
    }

    private record Sent(long nanos, double work) {}

    private final Choice choice;
    private final Ticker ticker;
    private final SplittableRandom random;
    private final List<EndpointSpec> endpoints;
    private final Map<EndpointId, ReportedLoad> reports = new HashMap<>();
    private final Map<EndpointId, ArrayDeque<Sent>> sent = new HashMap<>();

    BaselinePolicy(Choice choice, Ticker ticker, long seed, List<EndpointSpec> endpoints) {
        this.choice = choice;
        this.ticker = ticker;
        this.random = new SplittableRandom(seed);
        this.endpoints = endpoints;
        for (EndpointSpec endpoint : endpoints) {
            reports.put(endpoint.id(), ReportedLoad.idle(0));
            sent.put(endpoint.id(), new ArrayDeque<>());
        }
    }

    @Override
    public List<EndpointId> choose(RouteRequest request) {
        double share =
                PromptSize.ofPrompt(request.promptTokens()) == PromptSize.LONG ? RoutingSettings.LONG_MEMORY_SHARE : 1;
        double needed = (request.promptTokens() + request.maxAnswerTokens()) / share;
        List<EndpointId> fitting = endpoints.stream()
                .filter(e -> e.kvTokens() >= needed)
                .map(EndpointSpec::id)
                .toList();
        if (fitting.isEmpty()) {
            return List.of();
        }
        EndpointId first = fitting.get(random.nextInt(fitting.size()));
        EndpointId second = fitting.get(random.nextInt(fitting.size()));
        return switch (choice) {
            case RANDOM -> List.of(first, second);
            case TWO_CHOICES -> load(first) <= load(second) ? List.of(first, second) : List.of(second, first);
            case LEAST_LOADED ->
                fitting.stream()
                        .sorted((a, b) -> Double.compare(load(a), load(b)))
                        .limit(4)
                        .toList();
        };
    }

    @Override
    public SentRequest sent(EndpointId endpoint, RouteRequest request) {
        sent.get(endpoint).addLast(new Sent(ticker.nanos(), request.promptTokens() + REQUEST_COST));
        return new SentRequest() {
            @Override
            public void prefilled() {}

            @Override
            public void ended() {}
        };
    }

    @Override
    public void reportLoad(EndpointId endpoint, ReportedLoad load) {
        reports.put(endpoint, load);
        ArrayDeque<Sent> since = sent.get(endpoint);
        while (!since.isEmpty() && since.peekFirst().nanos <= load.takenNanos()) {
            since.removeFirst();
        }
    }

    @Override
    public void cacheEvent(EndpointId endpoint, CacheEvent event) {}

    private double load(EndpointId endpoint) {
        ReportedLoad report = reports.get(endpoint);
        return report.pending().shortTokens()
                + report.pending().mediumTokens()
                + report.pending().longTokens()
                + REQUEST_COST * report.requests()
                + sent.get(endpoint).stream().mapToDouble(Sent::work).sum();
    }
}
