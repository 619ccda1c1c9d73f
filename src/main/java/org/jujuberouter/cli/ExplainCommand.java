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

/** Tells from log files what became of a request. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Tells from the log files of instances what became of a request.",
            "Lines with a star are the request's own; the others are what its instances came to believe",
            "in the 5 s before and during it, and failures of other calls at its endpoints."
        },
        exitCodeList = {"0: told", "1: no line names the request", "2: a file cannot be read"})
public final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "The caller's id of the attempt.")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Logs of all instances.")
    private List<Path> files;

    @Override
    public Integer call() {
        RequestTimeline story = RequestTimeline.empty();
        for (Path file : files) {
            try (Stream<String> lines = Files.lines(file)) {
                lines.forEach(story::addLine);
            } catch (IOException | java.io.UncheckedIOException e) {
                System.err.println("cannot read " + file + ": " + e.getMessage());
                return 2;
            }
        }
        if (story.unparsableCount() > 0) {
            System.err.println(story.unparsableCount() + " lines could not be read");
        }
        Optional<String> told = story.render(request);
        if (told.isEmpty()) {
            System.err.println("no line names the request " + request);
            return 1;
        }
        System.out.print(told.get());
        return 0;
    }
}
