package org.jujuberouter.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jujuberouter.configcheck.CheckedConfiguration;
import org.jujuberouter.configcheck.ConfigurationChecks;
import org.jujuberouter.configcheck.Finding;
import org.jujuberouter.configcheck.Severity;
import org.jujuberouter.platform.ConfigurationReader;
import org.jujuberouter.platform.UnreadableDocumentException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks a configuration before an operator sends it to the platform's store. */
@Command(
        name = "check-config",
        mixinStandardHelpOptions = true,
        description = "Checks a configuration before it is sent, with the decoder that instances use.",
        exitCodeOnExecutionException = CheckConfigCommand.CANNOT_CHECK,
        exitCodeListHeading = ExitCodes.HELP_HEADING,
        exitCodeList = {"0:no finding, or only notes", "1:findings", "2:wrong usage, or the document cannot be checked"
        })
final class CheckConfigCommand implements Callable<Integer> {
    static final int FINDINGS = 1;
    static final int CANNOT_CHECK = 2;

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The configuration, a JSON document.")
    private Path file;

    @Option(
            names = "--in-force",
            paramLabel = "FILE",
            description = "The version in force; the differences from it are listed.")
    private Path inForceFile;

    @Option(names = "--json", description = "Print the findings as JSON.")
    private boolean json;

    @Override
    public Integer call() throws JsonProcessingException {
        List<Finding> findings;
        try {
            CheckedConfiguration configuration = read(file);
            findings = inForceFile == null
                    ? ConfigurationChecks.run(configuration)
                    : ConfigurationChecks.run(configuration, read(inForceFile));
        } catch (CannotCheckException e) {
            return fail(e.getMessage());
        } catch (OutOfMemoryError e) {
            // The exit code of an uncaught error would mean findings.
            return fail("there is not enough memory to check the document");
        }
        print(findings);
        return findings.stream().allMatch(f -> f.severity() == Severity.NOTE) ? ExitCodes.SUCCESS : FINDINGS;
    }

    private static CheckedConfiguration read(Path file) throws CannotCheckException {
        try (InputStream in = Files.newInputStream(file)) {
            return ConfigurationReader.read(in.readNBytes(ConfigurationReader.MAX_BYTES + 1));
        } catch (UnreadableDocumentException e) {
            throw new CannotCheckException(printable(file, e.getMessage()));
        } catch (IOException e) {
            throw new CannotCheckException(printable(file, "the file cannot be read: " + e));
        }
    }

    private static String printable(Path file, String reason) {
        return FindingFormatter.printable(file.toString()) + ": " + FindingFormatter.printable(reason);
    }

    private int fail(String reason) throws JsonProcessingException {
        if (json) {
            printLine(StoreCommand.JSON.writeValueAsString(Map.of("error", reason)));
        } else {
            PrintWriter err = spec.commandLine().getErr();
            err.println(reason);
            err.flush();
        }
        return CANNOT_CHECK;
    }

    private void print(List<Finding> findings) throws JsonProcessingException {
        if (json) {
            List<Map<String, String>> entries =
                    findings.stream().map(CheckConfigCommand::fields).toList();
            printLine(StoreCommand.JSON.writeValueAsString(Map.of("findings", entries)));
        } else {
            findings.forEach(f -> printLine(FindingFormatter.format(f)));
            printLine(FindingFormatter.summary(findings));
        }
    }

    private static Map<String, String> fields(Finding finding) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("severity", finding.severity().toString());
        fields.put("path", finding.path());
        fields.put("value", finding.value());
        fields.put("bound", finding.bound());
        fields.put("text", finding.text());
        return fields;
    }

    private void printLine(String line) {
        PrintWriter out = spec.commandLine().getOut();
        out.println(line);
        out.flush();
    }

    /** Thrown when a file cannot be checked. */
    private static final class CannotCheckException extends Exception {
        private static final long serialVersionUID = 1;

        private CannotCheckException(String message) {
            super(message);
        }
    }
}
