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

/** Guards against traces that change on the way through a file, and against errors that do not name their line. */
class TraceTest {
    private static final String HEADER = "{\"format\":\"jujuberouter-trace\",\"version\":1,\"seed\":7}";
    private static final String GOOD = "{\"t\":5,\"customer\":\"c\",\"service\":\"s\",\"kind\":\"get\",\"deadline\":9}";

    @Test
    void readsWhatItWrote() throws Exception {
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
    void namesTheLineOfAFault(String line, String message) {
        InvalidWorkloadException e =
                assertThrows(InvalidWorkloadException.class, () -> read(HEADER + "\n" + GOOD + "\n" + line + "\n"));
        assertTrue(e.getMessage().startsWith(message), e.getMessage());
    }

    @Test
    void refusesAnEmptyFileAnotherFormatAndAnotherVersion() {
        assertEquals("line 1: the trace is empty, expected a header", fault(""));
        assertEquals("line 1: the header has no \"format\":\"jujuberouter-trace\"", fault("{}"));
        assertEquals(
                "line 1: format version 2, this build reads version 1",
                fault(HEADER.replace("\"version\":1", "\"version\":2")));
    }

    @Test
    void comesWithTracesOfBothUsers() throws Exception {
        Trace trays = Trace.open("builtin:trays");
        assertTrue(has(trays, e -> e.promptTokens() > 900_000), "whole return histories");
        assertTrue(has(trays, e -> e.readerBytesPerSecond() > 0), "slow depot readers");
        assertTrue(has(trays, e -> e.path().equals("credits"))
                && has(trays, e -> e.path().equals("balances")));
        Trace permits = Trace.open("builtin:permits");
        assertTrue(has(permits, e -> e.promptTokens() > 100_000), "dossier reviews");
        assertTrue(has(permits, e -> e.path().equals("filings")));
    }

    private static boolean has(Trace trace, Predicate<TraceEntry> what) {
        return trace.entries().stream().anyMatch(what);
    }

    private static String fault(String text) {
        return assertThrows(InvalidWorkloadException.class, () -> read(text)).getMessage();
    }

    private static Trace read(String text) throws Exception {
        return Trace.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }
}
