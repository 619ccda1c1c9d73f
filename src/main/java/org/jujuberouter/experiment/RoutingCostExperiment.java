package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.util.List;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.RoutingSettings;

/**
 * Measures the duration of a routing decision among 1,400 endpoints of one model, the largest case. Durations are real
 * time, so unlike the results of the other experiments they depend on the machine.
 */
public final class RoutingCostExperiment {
    private static final int ENDPOINTS = 1_400;

    private final int requests;

    private RoutingCostExperiment(int requests) {
        this.requests = requests;
    }

    /** Returns an experiment with the given number of decisions; the first half is warm-up. */
    public static RoutingCostExperiment of(int requests) {
        return new RoutingCostExperiment(requests);
    }

    /**
     * The measured cost.
     *
     * @param endpoints endpoints among which the router chooses
     * @param microsPerDecision mean duration of a decision and of recording the sent request, after warm-up
     * @param indexedBlocks prompt blocks in the prefix index at the end
     */
    public record CostResult(int endpoints, double microsPerDecision, int indexedBlocks) {}

    /** Runs the decisions on a workload generated from the seed. */
    public CostResult run(long seed) {
        ManualTicker ticker = ManualTicker.atZero();
        FleetConfig config = new FleetConfig(ENDPOINTS, true, true, true, "");
        Router router = Router.of(RoutingSettings.in(FleetConfig.domain(0)), ticker, seed);
        config.endpoints().forEach(router::putEndpoint);
        List<Workload.Arrival> arrivals = Workload.generate(Workload.TrafficMix.DESIGN, seed, requests);
        RouterPolicy policy = new RouterPolicy(router, true);
        long startNanos = 0;
        for (int i = 0; i < arrivals.size(); i++) {
            if (i == arrivals.size() / 2) {
                startNanos = System.nanoTime();
            }
            Workload.Arrival arrival = arrivals.get(i);
            ticker.advanceTo(arrival.nanos());
            RouteRequest request = RouteRequest.of(
                    FleetConfig.MODEL, arrival.promptTokens(), arrival.maxAnswerTokens(), arrival.blocks());
            policy.recordSent(policy.choose(request).getFirst(), request).ended();
        }
        double micros = (System.nanoTime() - startNanos) / 1e3 / (arrivals.size() - arrivals.size() / 2);
        return new CostResult(ENDPOINTS, micros, router.indexedBlocks());
    }

    public static void print(CostResult result, PrintStream out) {
        out.printf(
                "%d endpoints: %.1f us a decision, %d blocks remembered%n",
                result.endpoints(), result.microsPerDecision(), result.indexedBlocks());
    }
}
