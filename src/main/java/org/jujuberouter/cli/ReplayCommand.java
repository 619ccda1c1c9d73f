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

/** Replays a trace and checks the expected outcomes. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a trace against instances and exits with code 1 if an expected outcome is not met.")
public final class ReplayCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TRACE", description = "a file, builtin:trays or builtin:permits")
    private String trace;

    @Mixin
    private TargetOptions target;

    @Option(
            names = "--speed",
            defaultValue = "1",
            description = "factor on the speed of the trace (default ${DEFAULT-VALUE})")
    private double speed;

    @Option(
            names = "--expect-whole",
            description =
                    "require that each request gets its own whole answer, with the share of --allow-not-run exempt")
    private boolean expectWhole;

    @Option(
            names = "--allow-not-run",
            defaultValue = "0",
            paramLabel = "SHARE",
            description = "share of requests that may be refused as not run (default ${DEFAULT-VALUE})")
    private double allowNotRun;

    @Option(
            names = "--expect-no-duplicates",
            description = "require that a resend gets the same answer as the first send")
    private boolean expectNoDuplicates;

    @Option(
            names = "--expect-first-token",
            paramLabel = "CLASS=MS",
            description = "bound of the 95th percentile of the time to first token in a length class, such as 1k=1200")
    private Map<String, Double> expectFirstTokenMs = new LinkedHashMap<>();

    @Spec
    private CommandSpec spec;

    private ReplayCommand() {}

    public static ReplayCommand of() {
        return new ReplayCommand();
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Trace parsedTrace;
        try {
            parsedTrace = Trace.open(trace);
        } catch (NoSuchFileException e) {
            spec.commandLine().getErr().println("trace not found: " + trace);
            return 2;
        } catch (InvalidWorkloadException e) {
            spec.commandLine().getErr().println(trace + ": " + e.getMessage());
            return 2;
        }
        PrintWriter out = spec.commandLine().getOut();
        LoadResult result;
        try (Writer records = target.openResults()) {
            result = target.runner(spec.commandLine().getErr())
                    .run(trace, parsedTrace, speed, TargetOptions.recordWriter(records));
        }
        out.println(result.table());
        target.writeJson(result.toJson());
        List<String> unmetExpectations =
                unmetExpectations(result, parsedTrace.entries().size());
        unmetExpectations.forEach(expectation -> out.println("not met: " + expectation));
        if (unmetExpectations.isEmpty()) {
            out.println("all stated outcomes are met");
        }
        out.flush();
        return unmetExpectations.isEmpty() ? 0 : 1;
    }

    private List<String> unmetExpectations(LoadResult result, int planned) {
        List<String> unmetExpectations = new ArrayList<>();
        long unaccounted = planned - result.correctResponses() - result.notRun() - result.refusedResends();
        if (expectWhole && (unaccounted > 0 || result.notRun() > allowNotRun * planned)) {
            unmetExpectations.add(String.format(
                    Locale.ROOT,
                    "%d of %d answers are whole, %d requests did not run (allowed share %.3f), faults %s",
                    result.correctResponses(),
                    planned,
                    result.notRun(),
                    allowNotRun,
                    result.faults()));
        }
        if (expectNoDuplicates && result.duplicates() > 0) {
            unmetExpectations.add(result.duplicates() + " resends got another answer than the first send");
        }
        expectFirstTokenMs.forEach((lengthClass, targetMs) -> {
            double measured = result.firstTokenMillis(lengthClass, 95);
            if (measured < 0 || measured > targetMs) {
                unmetExpectations.add(String.format(
                        Locale.ROOT,
                        "first token in class %s: 95th percentile %.1f ms, target %.1f ms",
                        lengthClass,
                        measured,
                        targetMs));
            }
        });
        return unmetExpectations;
    }
}
