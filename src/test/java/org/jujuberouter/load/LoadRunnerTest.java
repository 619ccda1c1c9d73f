package org.jujuberouter.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.jujuberouter.report.RequestRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a load generator that accepts incorrect responses, omits waiting time from its measurements or generates
 * different requests for the same seed.
 */
class LoadRunnerTest {
    private StubInstance server;

    @BeforeEach
    void start() throws Exception {
        server = StubInstance.start();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @ParameterizedTest
    @CsvSource({
        "CORRECT, none, completed",
        "FOREIGN_MARKER, foreign, unknown",
        "MISSING_TOKEN, order, unknown",
        "REPEATED_TOKEN, order, unknown",
        "UNTERMINATED, incomplete, unknown",
        "ERROR_EVENT, endpoint_failed, may-have-run",
        "REJECTED, no_capacity, not-run"
    })
    void reportsTheFaultOfAResponse(StubInstance.Behavior behavior, String fault, String outcome) throws Exception {
        server.setBehavior(behavior);
        List<RequestRecord> records = run(List.of(completion(RequestKind.STREAM, 0, 0)));
        assertEquals(fault, records.getFirst().fault());
        assertEquals(outcome, records.getFirst().outcome());
        assertEquals(
                behavior == StubInstance.Behavior.CORRECT, records.getFirst().succeeded());
    }

    @Test
    void checksAResponseThatIsNotStreamed() throws Exception {
        assertTrue(run(List.of(completion(RequestKind.COMPLETION, 0, 0)))
                .getFirst()
                .succeeded());
        server.setBehavior(StubInstance.Behavior.FOREIGN_MARKER);
        assertEquals(
                "foreign",
                run(List.of(completion(RequestKind.COMPLETION, 0, 0)))
                        .getFirst()
                        .fault());
    }

    @Test
    void countsARetryWithADifferentResponseAsADuplicate() throws Exception {
        TraceEntry first = new TraceEntry(0, "c", "ledger", "credits", RequestKind.POST, 0, "", 0, 5000, "k1", 0);
        Trace trace = new Trace(1, List.of(first, first.withOffset(100)));
        assertEquals(0, result(trace).duplicates());
        server.setBehavior(StubInstance.Behavior.DUPLICATE_EXECUTION);
        assertEquals(1, result(trace).duplicates());
    }

    @Test
    void limitsTheReadRateAndGroupsSlowReadersSeparately() throws Exception {
        // 20 events of about 35 bytes, a marker of 100 bytes and 200 bytes of other framing at 1,000 bytes/s.
        List<RequestRecord> records = run(List.of(completion(RequestKind.STREAM, 0, 1000)));
        assertTrue(records.getFirst().succeeded());
        assertTrue(
                records.getFirst().totalMs() > 500,
                "read in " + records.getFirst().totalMs() + " ms");
        assertTrue(result(new Trace(1, List.of(completion(RequestKind.STREAM, 0, 100_000))))
                .toJson()
                .contains("1k-slow"));
    }

    @Test
    void measuresTimesFromTheIntendedStart() throws Exception {
        List<RequestRecord> records =
                run(List.of(completion(RequestKind.STREAM, 0, 0), completion(RequestKind.STREAM, 300, 0)));
        long startDifferenceMs = Math.abs(records.get(1).t() - records.get(0).t());
        assertEquals(300, startDifferenceMs);
    }

    @Test
    void generatesAPromptOfTheGivenLengthWithASharedPrefix() throws Exception {
        TraceEntry entry = new TraceEntry(0, "c", "m", "", RequestKind.STREAM, 1000, "g1", 20, 5000, "", 0);
        String firstBody = new String(PromptBody.of(entry, "m", 1, "marker-1").readAllBytes(), StandardCharsets.UTF_8);
        String secondBody = new String(PromptBody.of(entry, "m", 1, "marker-2").readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(PromptBody.of(entry, "m", 1, "marker-1").length(), firstBody.length());
        assertEquals(1000, firstBody.substring(firstBody.indexOf("prompt")).split(" ").length);
        int sharedLength = 0;
        while (firstBody.charAt(sharedLength) == secondBody.charAt(sharedLength)) {
            sharedLength++;
        }
        assertEquals(0.75, sharedLength / (double) firstBody.length(), 0.02);
    }

    @Test
    void generatesTheSameTraceForTheSameSeed() throws Exception {
        Experiment experiment = new Experiment(
                "x", 600, new Arrivals.Poisson(20), RequestMix.named("design"), Experiment.CallerProfile.DEFAULT);
        assertEquals(experiment.plan(5), experiment.plan(5));
        Trace trace = experiment.plan(5);
        long longPrompts =
                trace.entries().stream().filter(e -> e.promptTokens() > 100_000).count();
        assertEquals(0.02, longPrompts / (double) trace.entries().size(), 0.005);
    }

    @Test
    void startsBurstsAndStepsAtTheirTimes() {
        long[] bursts = new Arrivals.Bursts(0, 50, 10).offsets(35, new SplittableRandom(1));
        assertEquals(150, bursts.length);
        assertEquals(
                List.of(10_000L, 20_000L, 30_000L),
                LongStream.of(bursts).distinct().boxed().toList());
        Arrivals steps = new Arrivals.Steps(List.of(new Arrivals.Step(10, 100), new Arrivals.Step(10, 0)));
        long[] offsets = steps.offsets(30, new SplittableRandom(1));
        assertEquals(1000, offsets.length, 120);
        assertTrue(offsets[offsets.length - 1] < 10_000);
    }

    @Test
    void reportsTheLocationOfAnErrorInAnExperimentFile(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("load.json");
        Files.writeString(file, "{\"experiments\":[{\"name\":\"a\",\"seconds\":1,\n\"mix\":\"trays\",\"rat\":3}]}");
        InvalidWorkloadException e = assertThrows(InvalidWorkloadException.class, () -> Experiment.readAll(file));
        assertTrue(e.getMessage().contains("line 2") && e.getMessage().contains("rat"), e.getMessage());
        Files.writeString(file, "{\"experiments\":[{\"name\":\"a\",\"seconds\":1,\"mix\":\"trays\"}]}");
        e = assertThrows(InvalidWorkloadException.class, () -> Experiment.readAll(file));
        assertTrue(e.getMessage().endsWith("needs \"rate\" or \"steps\""), e.getMessage());
    }

    private static TraceEntry completion(RequestKind kind, long offset, int readerBytesPerSecond) {
        return new TraceEntry(offset, "c", "assistant", "", kind, 100, "g", 20, 5000, "", readerBytesPerSecond);
    }

    private List<RequestRecord> run(List<TraceEntry> entries) throws Exception {
        List<RequestRecord> records = new ArrayList<>();
        runner().run("test", new Trace(1, entries), 1, records::add);
        return records;
    }

    private LoadResult result(Trace trace) throws Exception {
        return runner().run("test", trace, 1, r -> {});
    }

    private LoadRunner runner() {
        return LoadRunner.of(List.of(server.uri()), Map.of(), 100, new PrintWriter(Writer.nullWriter()));
    }
}
