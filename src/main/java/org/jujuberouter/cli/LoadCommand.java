package org.jujuberouter.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.jujuberouter.load.Arrivals;
import org.jujuberouter.load.Experiment;
import org.jujuberouter.load.InvalidWorkloadException;
import org.jujuberouter.load.LoadResult;
import org.jujuberouter.load.RequestMix;
import org.jujuberouter.load.Trace;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs one or more load experiments against instances. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = "Sends open-loop load to instances, checks each answer and prints latencies by length class.")
public final class LoadCommand implements Callable<Integer> {
    @Mixin
    private TargetOptions target;

    @Option(names = "--settings", paramLabel = "FILE", description = "file of experiments to run one after another")
    private Path experimentsFile;

    @Option(
            names = "--mix",
            defaultValue = "trays",
            description = "trays, permits or design (default ${DEFAULT-VALUE})")
    private String mix;

    @Option(names = "--rate", defaultValue = "5", description = "requests per second (default ${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "period in which requests are started, in seconds (default ${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "seed of the random generator (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--record", paramLabel = "FILE", description = "write the trace of the first experiment to a file")
    private Path traceFile;

    @Option(names = "--plan-only", description = "write the trace without sending any request")
    private boolean planOnly;

    @Spec
    private CommandSpec spec;

    private LoadCommand() {}

    public static LoadCommand of() {
        return new LoadCommand();
    }

    @Override
    public Integer call() throws Exception {
        List<Experiment> experiments;
        try {
            experiments = experiments();
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("settings file not found: " + experimentsFile);
            return 2;
        } catch (InvalidWorkloadException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 2;
        }
        if (traceFile != null) {
            try (Writer out = Files.newBufferedWriter(traceFile)) {
                experiments.getFirst().plan(seed).write(out);
            }
        }
        return planOnly ? 0 : run(experiments);
    }

    private List<Experiment> experiments() throws IOException, InvalidWorkloadException {
        if (experimentsFile != null) {
            return Experiment.readAll(experimentsFile);
        }
        return List.of(new Experiment(
                mix, seconds, new Arrivals.Poisson(rate), RequestMix.named(mix), Experiment.CallerProfile.DEFAULT));
    }

    private int run(List<Experiment> experiments) throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        List<LoadResult> results = new ArrayList<>();
        try (Writer records = target.openResults()) {
            for (Experiment experiment : experiments) {
                Trace plan = experiment.plan(seed);
                LoadResult result = target.runner(spec.commandLine().getErr())
                        .run(experiment.name(), plan, 1, TargetOptions.recordWriter(records));
                out.println(result.table());
                results.add(result);
            }
        }
        if (results.size() > 1) {
            out.println(LoadResult.compare(results));
        }
        target.writeJson(results.stream().map(LoadResult::toJson).collect(Collectors.joining(",\n", "[", "]")));
        out.flush();
        return 0;
    }
}
