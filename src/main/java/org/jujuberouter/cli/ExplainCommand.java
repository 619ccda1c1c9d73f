package org.jujuberouter.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import org.jujuberouter.telemetry.RequestTimeline;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the timeline of a request, reconstructed from log files. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the timeline of a request, reconstructed from the log files of instances.",
            "Lines with a star belong to the request; the others show which state changes its instances recorded",
            "in the 5 s before and during it, and failures of other calls at its endpoints."
        },
        exitCodeList = {"0: the timeline was printed", "1: no line names the request", "2: a file cannot be read"})
public final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "The id that the caller gave the attempt.")
    private String requestId;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Log files of all instances.")
    private List<Path> files;

    @Override
    public Integer call() {
        RequestTimeline timeline = RequestTimeline.empty();
        for (Path file : files) {
            try (Stream<String> lines = Files.lines(file)) {
                lines.forEach(timeline::addLine);
            } catch (IOException | java.io.UncheckedIOException e) {
                System.err.println("cannot read " + file + ": " + e.getMessage());
                return 2;
            }
        }
        if (timeline.unparsableCount() > 0) {
            System.err.println(timeline.unparsableCount() + " lines could not be parsed");
        }
        Optional<String> rendered = timeline.render(requestId);
        if (rendered.isEmpty()) {
            System.err.println("no log line names the request " + requestId);
            return 1;
        }
        System.out.print(rendered.get());
        return 0;
    }
}
