package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import org.jujuberouter.experiment.RoutingCostExperiment;
import org.jujuberouter.experiment.RoutingExperiment;
import org.jujuberouter.experiment.SizeIsolationExperiment;
import org.jujuberouter.experiment.SlowReadersExperiment;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs experiments in virtual time and prints their results as tables. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Runs an experiment on emulated engines in virtual time.")
public final class ExperimentCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return CommandLine.ExitCode.USAGE;
    }

    @Command(name = "routing", description = "Compares the routing algorithm with simpler policies.")
    int routing(
            @Option(names = "--seed", defaultValue = "1", description = "Seed of arrivals and random choices.")
                    long seed,
            @Option(names = "--requests", defaultValue = "20000", description = "Requests per run.") int requests) {
        RoutingExperiment.print(RoutingExperiment.of(requests).run(seed), System.out);
        return 0;
    }

    @Command(name = "lanes", description = "Measures the waiting time of short requests that compete with long ones.")
    int sizeIsolation(
            @Option(names = "--seed", defaultValue = "1", description = "Seed of arrivals and random choices.")
                    long seed,
            @Option(names = "--requests", defaultValue = "20000", description = "Requests per run.") int requests) {
        SizeIsolationExperiment.print(SizeIsolationExperiment.of(requests).run(seed), System.out);
        return 0;
    }

    @Command(name = "cost", description = "Measures the time that a routing decision among 1,400 endpoints takes.")
    int cost(
            @Option(names = "--seed", defaultValue = "1", description = "Seed of arrivals and random choices.")
                    long seed,
            @Option(names = "--requests", defaultValue = "200000", description = "Number of decisions.") int requests) {
        RoutingCostExperiment.print(RoutingCostExperiment.of(requests).run(seed), System.out);
        return 0;
    }

    @Command(
            name = "slow-readers",
            description = "Measures the memory held for slow readers, with and without a bound.")
    int slowReaders(
            @Option(names = "--seed", defaultValue = "1", description = "Seed of lengths and start times.") long seed) {
        SlowReadersExperiment.print(SlowReadersExperiment.create().run(seed), System.out);
        return 0;
    }
}
