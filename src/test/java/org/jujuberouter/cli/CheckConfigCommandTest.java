package org.jujuberouter.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.RandomAccessFile;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jujuberouter.misc.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Guards against a script that sends a bad configuration because the check's result misled it. */
class CheckConfigCommandTest {
    private static final String VALID = """
            {"Version":7,
             "Routes":[{"Name":"post","Host":"h","Prefix":"/post/","Type":"idempotent","Service":"ledger"}],
             "Services":[{"Name":"ledger"}]}""";

    @TempDir
    private Path directory;

    private String out;
    private String err;

    @Test
    void returnsZeroForAValidDocumentAndForNotesOnly() throws IOException {
        assertEquals(0, check(VALID));
        assertEquals("0 errors, 0 warnings, 0 notes\n", out);
        assertEquals(0, check(VALID.replace("\"Host\"", "\"Owner\":\"x\",\"Host\"")));
        assertTrue(out.startsWith("note /Routes/0/Owner: unknown field"), out);
    }

    @Test
    void returnsOneAndTheFindings() throws IOException {
        assertEquals(1, check(VALID.replace("\"/post/\"", "\"/post\"")));
        assertEquals(
                "error /Routes/0/Prefix: the prefix also matches paths in which the last segment goes on;"
                        + " found: /post; must be: begins and ends with /\n1 errors, 0 warnings, 0 notes\n",
                out);
        assertEquals("", err);
    }

    @Test
    void printsFindingsAndFailuresAsJson() throws IOException {
        assertEquals(1, check(VALID.replace("\"/post/\"", "\"/post\""), "--json"));
        JsonNode finding = Json.MAPPER.readTree(out).path("findings").path(0);
        assertEquals("error", finding.path("severity").asText());
        assertEquals("/Routes/0/Prefix", finding.path("path").asText());
        assertEquals("/post", finding.path("value").asText());
        assertEquals("begins and ends with /", finding.path("bound").asText());
        assertFalse(finding.path("text").asText().isEmpty());
        assertEquals(0, check(VALID, "--json"));
        assertTrue(Json.MAPPER.readTree(out).path("findings").isEmpty(), out);
        assertEquals(2, check("{", "--json"));
        assertTrue(Json.MAPPER.readTree(out).path("error").asText().contains("line 1"), out);
    }

    @Test
    void returnsTwoWithTheLocationIfTheDocumentCannotBeRead() throws IOException {
        assertCannotCheck("line 1, column 1: the document is not a JSON object", "[]");
        assertCannotCheck("line 1, column 1: No content", "");
        assertCannotCheck("line 1, column ", "{\"Version\":");
        assertFalse(err.contains("Source"), err);
        assertCannotCheck("line 3", "{\"Version\":1,\n\"Routes\":[\n}");
        assertCannotCheck("line 2, column ", "{\"Version\":1}\n{}");
        assertCannotCheck("Duplicate field 'Version'", "{\"Version\":1,\"Version\":2}");
        assertCannotCheck("Number value length", "{\"Version\":" + "9".repeat(2_000) + "}");
        assertEquals(2, run(directory.resolve("missing").toString()));
        assertTrue(err.contains("cannot be read"), err);
        assertEquals(2, run(directory.toString()));
        assertEquals(2, run());
    }

    @Test
    void returnsTwoForNestingSizeAndEncodingThatNoInstanceReads() throws IOException {
        assertCannotCheck("depth", "[".repeat(1_000_000));
        assertCannotCheck("depth", "{\"a\":".repeat(200_000));
        Path large = directory.resolve("large");
        try (RandomAccessFile file = new RandomAccessFile(large.toFile(), "rw")) {
            file.setLength(100L << 20);
        }
        assertEquals(2, run(large.toString()));
        assertTrue(err.contains("larger than 6000000 bytes"), err);
        byte[] latin = VALID.replace("post", "p\u00f6st").getBytes(StandardCharsets.ISO_8859_1);
        assertEquals(2, run(Files.write(directory.resolve("latin"), latin).toString()));
        assertTrue(err.contains("byte offset 35: the document is not UTF-8"), err);
    }

    /** A document may hold keys, and characters that change what a terminal shows. */
    @Test
    void printsNeitherPartsOfKeysNorControlCharacters() throws IOException {
        assertCannotCheck("unrecognized token", "{\"Tenants\":[{\"ApiKeys\":[secretkey]}]}");
        assertFalse(err.contains("secr"), err);
        assertEquals(1, check(VALID.replace("\"/post/\"", "\"/\\u001b[2J\\u202e" + "x".repeat(5_000) + "\"")));
        assertTrue(out.contains("/\\u001b[2J\\u202ex"), out);
        assertTrue(out.length() < 1_000, out);
    }

    @Test
    void comparesWithTheVersionInForce() throws IOException {
        Path inForce = Files.writeString(directory.resolve("in-force.json"), VALID);
        String next = VALID.replace("\"Version\":7", "\"Version\":8").replace("/post/", "/send/");
        assertEquals(0, check(next, "--in-force", inForce.toString()));
        assertTrue(out.startsWith("note /Routes/0: route added; found: h/send/\n"), out);
        assertEquals(1, check(VALID, "--in-force", inForce.toString()));
        assertEquals(2, check(VALID, "--in-force", directory.resolve("missing").toString()));
        assertTrue(err.contains("missing: the file cannot be read"), err);
    }

    private void assertCannotCheck(String reason, String document) throws IOException {
        assertEquals(2, check(document), document.substring(0, Math.min(100, document.length())));
        assertTrue(err.contains(reason), err);
        assertTrue(err.contains(": line "), err);
        assertEquals("", out);
    }

    private int check(String document, String... options) throws IOException {
        Path file = Files.writeString(directory.resolve("config.json"), document);
        String[] arguments = java.util.Arrays.copyOf(options, options.length + 1);
        arguments[options.length] = file.toString();
        return run(arguments);
    }

    private int run(String... arguments) {
        StringWriter output = new StringWriter();
        StringWriter errors = new StringWriter();
        int code = new CommandLine(new CheckConfigCommand())
                .setOut(new PrintWriter(output))
                .setErr(new PrintWriter(errors))
                .execute(arguments);
        out = output.toString();
        err = errors.toString();
        return code;
    }
}
