package org.jujuberouter.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.report.BurnReport;
import org.jujuberouter.report.BurnReportBuilder;
import org.jujuberouter.report.Objective;
import org.jujuberouter.report.ReportException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reports the burn rate of the error budget of each objective. */
@Command(
        name = "slo-burn",
        mixinStandardHelpOptions = true,
        description = "Reports the burn rates of error budgets, from recorded requests or from metrics of instances.")
final class SloBurnCommand implements Callable<Integer> {
    private static final Duration SCRAPE_TIMEOUT = Duration.ofSeconds(5);

    /** Output formats of the report. */
    enum ReportFormat {
        text,
        json,
        html
    }

    @Parameters(arity = "0..*", paramLabel = "FILE", description = "result files of load or replay, or access logs")
    private List<Path> files = new ArrayList<>();

    @Option(names = "--metrics", paramLabel = "URL", description = "an instance's /metrics; scraped --samples times")
    private List<URI> metrics = new ArrayList<>();

    @Option(
            names = "--samples",
            defaultValue = "13",
            description = "scrapes of each instance (default ${DEFAULT-VALUE})")
    private int samples;

    @Option(names = "--every", defaultValue = "5", description = "seconds between scrapes (default ${DEFAULT-VALUE})")
    private int everySeconds;

    @Option(
            names = "--objective",
            description = "first-token=MS@SHARE, between-tokens=MS@SHARE or availability=SHARE; replaces the defaults")
    private List<String> objectives = new ArrayList<>();

    @Option(
            names = "--scale",
            description = "factor for all windows; by default, the longest window equals the run's length")
    private Double scale;

    @Option(
            names = "--format",
            defaultValue = "text",
            description = "${COMPLETION-CANDIDATES} (default ${DEFAULT-VALUE})")
    private ReportFormat format;

    @Option(names = "--out", paramLabel = "FILE", description = "write to a file instead of standard output")
    private Path outFile;

    @Option(names = "--fail-on-burn", description = "exit with code 1 if a rule fired")
    private boolean failOnBurn;

    @Spec
    private CommandSpec spec;

    private SloBurnCommand() {}

    @Override
    public Integer call() throws InterruptedException {
        try {
            return report();
        } catch (ReportException e) {
            spec.commandLine().getErr().println(e.getMessage());
        } catch (IOException e) {
            spec.commandLine().getErr().println("cannot read or write " + e.getMessage());
        }
        return 2;
    }

    private int report() throws IOException, InterruptedException, ReportException {
        BurnReportBuilder input = BurnReportBuilder.of(parseObjectives());
        for (Path file : files) {
            input.addRecords(file);
        }
        scrape(input);
        BurnReport report = input.build(Optional.ofNullable(scale));
        String document = switch (format) {
            case text -> report.text();
            case json -> report.json();
            case html -> report.html();
        };
        if (outFile == null) {
            spec.commandLine().getOut().println(document);
            spec.commandLine().getOut().flush();
        } else {
            Files.writeString(outFile, document);
        }
        return failOnBurn && report.fired() ? 1 : 0;
    }

    private List<Objective> parseObjectives() throws ReportException {
        if (objectives.isEmpty()) {
            return Objective.DEFAULTS;
        }
        List<Objective> parsed = new ArrayList<>();
        for (String text : objectives) {
            parsed.add(Objective.parse(text));
        }
        return parsed;
    }

    /** Scrapes all instances in several rounds; an instance that does not respond is skipped in that round. */
    private void scrape(BurnReportBuilder input) throws InterruptedException, ReportException {
        if (metrics.isEmpty()) {
            return;
        }
        try (HttpClient client =
                HttpClient.newBuilder().connectTimeout(SCRAPE_TIMEOUT).build()) {
            for (int i = 0; i < samples; i++) {
                if (i > 0) {
                    TimeUnit.SECONDS.sleep(everySeconds);
                }
                for (URI uri : metrics) {
                    try {
                        HttpResponse<String> response = client.send(
                                HttpRequest.newBuilder(uri)
                                        .timeout(SCRAPE_TIMEOUT)
                                        .build(),
                                BodyHandlers.ofString());
                        if (response.statusCode() != 200) {
                            throw new IOException("status " + response.statusCode());
                        }
                        input.addMetrics(uri.toString(), System.currentTimeMillis(), response.body());
                    } catch (IOException e) {
                        spec.commandLine().getErr().println("cannot scrape metrics from " + uri + ": " + e);
                    }
                }
            }
        }
    }
}
