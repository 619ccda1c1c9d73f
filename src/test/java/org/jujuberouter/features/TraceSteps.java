package org.jujuberouter.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.cli.ReplayCommand;
import org.jujuberouter.load.RequestKind;
import org.jujuberouter.load.StubInstance;
import org.jujuberouter.load.Trace;
import org.jujuberouter.load.TraceEntry;

/** Steps of the trace replay features. */
public class TraceSteps {
    private StubInstance server;
    private Path trace;
    private CommandLineRun run;

    @Given("a service that answers like the assistant and the ledger")
    public void startService() throws IOException {
        server = StubInstance.start();
    }

    @Given("a trace with {int} questions, {int} long reviews, a slow reader and a credit that is sent twice")
    public void writeTrace(int questions, int reviews) throws IOException {
        List<TraceEntry> entries = new ArrayList<>();
        for (int i = 0; i < questions; i++) {
            entries.add(completion(1_500, 0));
        }
        for (int i = 0; i < reviews; i++) {
            entries.add(completion(120_000, 0));
        }
        entries.add(completion(1_500, 5_000));
        TraceEntry credit = new TraceEntry(0, "depot", "ledger", "credits", RequestKind.POST, 0, "", 0, 9000, "k1", 0);
        entries.add(credit);
        entries.add(credit.withOffset(50));
        trace = Files.createTempFile("trace", ".jsonl");
        try (Writer out = Files.newBufferedWriter(trace)) {
            new Trace(3, entries).write(out);
        }
    }

    @Given("line {int} of the trace is damaged")
    public void damageLine(int line) throws IOException {
        List<String> lines = new ArrayList<>(Files.readAllLines(trace));
        lines.set(line - 1, "{\"t\":");
        Files.write(trace, lines);
    }

    @Given("the service loses a piece of each answer")
    public void omitTokens() {
        server.setBehavior(StubInstance.Behavior.MISSING_TOKEN);
    }

    @Given("the service gives callers the answers of others")
    public void swapResponses() {
        server.setBehavior(StubInstance.Behavior.FOREIGN_MARKER);
    }

    @Given("the service cuts answers off before their end")
    public void truncateResponses() {
        server.setBehavior(StubInstance.Behavior.UNTERMINATED);
    }

    @Given("the service runs each credit as often as it is sent")
    public void executeDuplicates() {
        server.setBehavior(StubInstance.Behavior.DUPLICATE_EXECUTION);
    }

    @Given("the service refuses all prompts as not run")
    public void refuseRequests() {
        server.setBehavior(StubInstance.Behavior.REJECTED);
    }

    @When("the operator replays the trace, expecting whole answers and no duplicates")
    public void replay() {
        replayWith("--expect-whole", "--expect-no-duplicates");
    }

    @When("the operator replays the trace, allowing a share of {double} not to run")
    public void replayAllowing(double share) {
        replayWith("--expect-whole", "--allow-not-run", Double.toString(share));
    }

    @When("the operator replays the trace, expecting first tokens of class {string} within {double} ms")
    public void replayWithTarget(String lengthClass, double millis) {
        replayWith("--expect-first-token", lengthClass + "=" + millis);
    }

    @Then("the replay succeeds")
    public void succeeds() {
        assertEquals(0, run.status(), run.output());
    }

    @Then("the replay fails and says {string}")
    public void fails(String finding) {
        assertEquals(1, run.status(), run.output());
        assertTrue(run.output().contains(finding), run.output());
    }

    @Then("the replay is refused and says {string}")
    public void refused(String finding) {
        assertEquals(2, run.status(), run.output());
        assertTrue(run.output().contains(finding), run.output());
    }

    @After
    public void stop() throws IOException {
        if (server != null) {
            server.close();
            Files.deleteIfExists(trace);
        }
    }

    private void replayWith(String... options) {
        List<String> arguments = new ArrayList<>(
                List.of(trace.toString(), "--target", server.uri().toString()));
        arguments.addAll(List.of(options));
        run = CommandLineRun.of(ReplayCommand.of(), arguments.toArray(String[]::new));
    }

    private static TraceEntry completion(int promptTokens, int readerBytesPerSecond) {
        return new TraceEntry(
                0,
                "depot",
                "assistant",
                "",
                RequestKind.STREAM,
                promptTokens,
                "season",
                20,
                9000,
                "",
                readerBytesPerSecond);
    }
}
