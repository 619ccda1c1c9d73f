package org.jujuberouter.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jujuberouter.load.InvalidWorkloadException;
import org.jujuberouter.load.LoadResult;
import org.jujuberouter.load.Trace;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Replays a trace and checks stated outcomes. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a trace against instances and exits with 1 when a stated outcome is not met.")
public final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TRACE", description = "a file, builtin:trays or builtin:permits")
    private String trace;

    @Mixin
    private TargetOptions target;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "multiple of the trace's speed (default ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--expect-whole",
            description = "every request ends with its own whole answer, but for those that --allow-not-run admits")
    private boolean expectWhole;

    @Option(
            names = "--allow-not-run",
            defaultValue = "0",
            paramLabel = "SHARE",
            description = "the share of requests that may be refused as not run (default ${DEFAULT-VALUE})")
    private double allowNotRun;

    @Option(names = "--expect-no-duplicates", description = "a resend never gets another answer than the first send")
    private boolean expectNoDuplicates;

    @Option(
            names = "--expect-first-token",
            paramLabel = "CLASS=MS",
            description = "the 95th percentile of the time to the first token in a length class, for example 1k=1200")
    private Map<String, Double> expectFirst = new LinkedHashMap<>();

    @Spec
    private CommandSpec spec;

    private ReplayCommand() {}

    /** Returns the command. */
    public static ReplayCommand of() {
        return new ReplayCommand();
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Trace recorded;
        try {
            recorded = Trace.open(trace);
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("no trace at " + trace);
            return 2;
        } catch (InvalidWorkloadException e) {
            spec.commandLine().getErr().println(trace + ": " + e.getMessage());
            return 2;
        }
        PrintWriter out = spec.commandLine().getOut();
        LoadResult result;
        try (Writer records = target.openResults()) {
            result =
                    target.runner(spec.commandLine().getErr()).run(trace, recorded, speed, TargetOptions.sink(records));
        }
        out.println(result.table());
        target.writeJson(result.toJson());
        List<String> missed = missed(result, recorded.entries().size());
        missed.forEach(m -> out.println("not met: " + m));
        if (missed.isEmpty()) {
            out.println("all stated outcomes are met");
        }
        out.flush();
        return missed.isEmpty() ? 0 : 1;
    }

    private List<String> missed(LoadResult result, int planned) {
        List<String> missed = new ArrayList<>();
        long other = planned - result.correctResponses() - result.notRun() - result.refusedResends();
        if (expectWhole && (other > 0 || result.notRun() > allowNotRun * planned)) {
            missed.add(String.format(
                    Locale.ROOT,
                    "%d of %d answers are whole, %d requests did not run (allowed share %.3f), faults %s",
                    result.correctResponses(),
                    planned,
                    result.notRun(),
                    allowNotRun,
                    result.faults()));
        }
        if (expectNoDuplicates && result.duplicates() > 0) {
            missed.add(result.duplicates() + " resends got another answer than the first send");
        }
        expectFirst.forEach((lengthClass, targetMs) -> {
            double measured = result.firstTokenMillis(lengthClass, 95);
            if (measured < 0 || measured > targetMs) {
                missed.add(String.format(
                        Locale.ROOT,
                        "first token in class %s: 95th percentile %.1f ms, target %.1f ms",
                        lengthClass,
                        measured,
                        targetMs));
            }
        });
        return missed;
    }
}
