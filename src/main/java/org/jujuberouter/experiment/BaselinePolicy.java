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

/**
 * Simple policies to compare the router with. Like the router they use load reports and add the requests sent since the
 * last report, but they ignore the prefix caches.
 */
final class BaselinePolicy implements RoutingPolicy {
    /** Load of a request besides its prompt, as an equivalent number of prompt tokens. */
    private static final double REQUEST_COST_TOKENS = 64;

    enum Strategy {
        RANDOM,
        TWO_CHOICES,
        LEAST_LOADED
    }

    private record SentWork(long nanos, double work) {}

    private final Strategy strategy;
    private final Ticker ticker;
    private final SplittableRandom random;
    private final List<EndpointSpec> endpoints;
    private final Map<EndpointId, ReportedLoad> reports = new HashMap<>();
    private final Map<EndpointId, ArrayDeque<SentWork>> unreportedWork = new HashMap<>();

    BaselinePolicy(Strategy strategy, Ticker ticker, long seed, List<EndpointSpec> endpoints) {
        this.strategy = strategy;
        this.ticker = ticker;
        this.random = new SplittableRandom(seed);
        this.endpoints = endpoints;
        for (EndpointSpec endpoint : endpoints) {
            reports.put(endpoint.id(), ReportedLoad.idle(0));
            unreportedWork.put(endpoint.id(), new ArrayDeque<>());
        }
    }

    @Override
    public List<EndpointId> choose(RouteRequest request) {
        double memoryShare =
                PromptSize.ofPrompt(request.promptTokens()) == PromptSize.LONG ? RoutingSettings.LONG_MEMORY_SHARE : 1;
        double requiredTokens = (request.promptTokens() + request.maxAnswerTokens()) / memoryShare;
        List<EndpointId> eligible = endpoints.stream()
                .filter(e -> e.kvTokens() >= requiredTokens)
                .map(EndpointSpec::id)
                .toList();
        if (eligible.isEmpty()) {
            return List.of();
        }
        EndpointId first = eligible.get(random.nextInt(eligible.size()));
        EndpointId second = eligible.get(random.nextInt(eligible.size()));
        return switch (strategy) {
            case RANDOM -> List.of(first, second);
            case TWO_CHOICES -> load(first) <= load(second) ? List.of(first, second) : List.of(second, first);
            case LEAST_LOADED ->
                eligible.stream()
                        .sorted((a, b) -> Double.compare(load(a), load(b)))
                        .limit(4)
                        .toList();
        };
    }

    @Override
    public SentRequest recordSent(EndpointId endpoint, RouteRequest request) {
        unreportedWork
                .get(endpoint)
                .addLast(new SentWork(ticker.nanos(), request.promptTokens() + REQUEST_COST_TOKENS));
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
        ArrayDeque<SentWork> unreported = unreportedWork.get(endpoint);
        while (!unreported.isEmpty() && unreported.peekFirst().nanos <= load.takenNanos()) {
            unreported.removeFirst();
        }
    }

    @Override
    public void cacheEvent(EndpointId endpoint, CacheEvent event) {}

    private double load(EndpointId endpoint) {
        ReportedLoad report = reports.get(endpoint);
        return report.pending().shortTokens()
                + report.pending().mediumTokens()
                + report.pending().longTokens()
                + REQUEST_COST_TOKENS * report.requests()
                + unreportedWork.get(endpoint).stream()
                        .mapToDouble(SentWork::work)
                        .sum();
    }
}
