package org.jujuberouter.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against traces that change when written and read back, and against errors without a line number. */
class TraceTest {
    private static final String HEADER = "{\"format\":\"jujuberouter-trace\",\"version\":1,\"seed\":7}";
    private static final String VALID_LINE =
            "{\"t\":5,\"customer\":\"c\",\"service\":\"s\",\"kind\":\"get\",\"deadline\":9}";

    @Test
    void readsBackAWrittenTrace() throws Exception {
        Trace trace = Trace.open("builtin:trays");
        StringWriter out = new StringWriter();
        trace.write(out);
        assertEquals(trace, read(out.toString()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"t\":5| line 3, column",
                "[1]| line 3: not a JSON object",
                "{\"tt\":5}| line 3: unknown field \"tt\"",
                "{\"t\":-1,\"kind\":\"get\"}| line 3: field \"t\" must be a whole number from 0 to 604800000",
                "{\"t\":5,\"kind\":\"put\"}| line 3: kind \"put\" is not one of [stream, completion, post, get]",
                "{\"t\":5,\"kind\":\"get\",\"customer\":\"a b\"}| line 3: field \"customer\" has characters that",
                "{\"t\":6,\"kind\":\"stream\",\"customer\":\"c\",\"service\":\"s\",\"deadline\":9}| line 3: field \"prompt\"",
                "{\"t\":4,\"kind\":\"get\",\"customer\":\"c\",\"service\":\"s\",\"deadline\":9}| line 3: t is 4, before 5",
            })
    void reportsTheLineOfAnError(String line, String message) {
        InvalidWorkloadException e = assertThrows(
                InvalidWorkloadException.class, () -> read(HEADER + "\n" + VALID_LINE + "\n" + line + "\n"));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }

    @Test
    void rejectsAnEmptyFileAnotherFormatAndAnotherVersion() {
        assertEquals("line 1: the trace is empty, expected a header", errorMessage(""));
        assertEquals("line 1: the header has no \"format\":\"jujuberouter-trace\"", errorMessage("{}"));
        assertEquals(
                "line 1: format version 2, this build reads version 1",
                errorMessage(HEADER.replace("\"version\":1", "\"version\":2")));
    }

    @Test
    void bundlesTracesOfBothWorkloads() throws Exception {
        Trace trays = Trace.open("builtin:trays");
        assertTrue(hasEntry(trays, e -> e.promptTokens() > 900_000), "no prompts of about one million tokens");
        assertTrue(hasEntry(trays, e -> e.readerBytesPerSecond() > 0), "no slow readers");
        assertTrue(hasEntry(trays, e -> e.path().equals("credits"))
                && hasEntry(trays, e -> e.path().equals("balances")));
        Trace permits = Trace.open("builtin:permits");
        assertTrue(hasEntry(permits, e -> e.promptTokens() > 100_000), "no prompts above 100,000 tokens");
        assertTrue(hasEntry(permits, e -> e.path().equals("filings")));
    }

    private static boolean hasEntry(Trace trace, Predicate<TraceEntry> condition) {
        return trace.entries().stream().anyMatch(condition);
    }

    private static String errorMessage(String text) {
        return assertThrows(InvalidWorkloadException.class, () -> read(text)).getMessage();
    }

    private static Trace read(String text) throws Exception {
        return Trace.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }
}
