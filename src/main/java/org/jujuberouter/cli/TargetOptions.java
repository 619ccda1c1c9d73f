package org.jujuberouter.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.load.LoadRunner;
import org.jujuberouter.report.RequestRecord;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Options shared by load and replay: the target instances and the output files. */
final class TargetOptions {
    @Option(
            names = "--target",
            paramLabel = "URL",
            description = "an instance, for example http://127.0.0.1:8080; several are called round-robin")
    private List<URI> targets;

    @Option(names = "--model", paramLabel = "SERVICE=MODEL", description = "the model to request for a service")
    private Map<String, String> models = new LinkedHashMap<>();

    @Option(
            names = "--max-open",
            defaultValue = "4000",
            description =
                    "most requests open at once; others are not sent and count as faults (default ${DEFAULT-VALUE})")
    private int maxOpen;

    @Option(names = "--results", paramLabel = "FILE", description = "write one JSON line per request")
    private Path results;

    @Option(names = "--json", paramLabel = "FILE", description = "write the results as JSON")
    private Path json;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    LoadRunner runner(PrintWriter progress) {
        if (targets == null || maxOpen < 1) {
            throw new ParameterException(command.commandLine(), "--target is required and --max-open is at least 1");
        }
        return LoadRunner.of(targets, models, maxOpen, progress);
    }

    /** Opens the file given by --results; without one, returns a writer that discards all records. */
    Writer openResults() throws IOException {
        return results == null ? Writer.nullWriter() : Files.newBufferedWriter(results);
    }

    void writeJson(String document) throws IOException {
        if (json != null) {
            Files.writeString(json, document + System.lineSeparator());
        }
    }

    static Consumer<RequestRecord> recordWriter(Writer out) {
        return record -> {
            try {
                out.write(record.toJson() + "\n");
            } catch (IOException e) {
                throw new UncheckedIOException("cannot write the results", e);
            }
        };
    }
}
