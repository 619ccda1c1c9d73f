package org.jujuberouter.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A recorded or planned sequence of requests; docs/traces.md describes its file format.
 *
 * @param seed seed of the generated prompt texts
 * @param entries requests in the order of their start offsets
 */
public record Trace(long seed, List<TraceEntry> entries) {
    /** Version of the file format that this build reads and writes. */
    public static final int VERSION = 1;

    /** Name prefix of the traces that are bundled with the program. */
    public static final String BUILT_IN_PREFIX = "builtin:";

    /** Maximum length of a prompt or completion; above the design limit of one million tokens. */
    static final int MAX_TOKENS = 4_000_000;

    private static final String FORMAT = "jujuberouter-trace";
    private static final long MAX_MILLIS = 7L * 24 * 3600 * 1000;
    private static final Set<String> FIELDS = Set.of(
            "t", "customer", "service", "path", "kind", "prompt", "group", "answer", "deadline", "key", "reader");
    private static final Pattern SAFE_TEXT = Pattern.compile("[A-Za-z0-9._~/?=&%-]+");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Makes a defensive copy of the entries. */
    public Trace {
        entries = List.copyOf(entries);
    }

    /** Reads a trace file, or a bundled trace if the name starts with {@link #BUILT_IN_PREFIX}. */
    public static Trace open(String name) throws IOException, InvalidWorkloadException {
        if (!name.startsWith(BUILT_IN_PREFIX)) {
            try (InputStream in = Files.newInputStream(Path.of(name))) {
                return read(in);
            }
        }
        String resource = "/traces/" + name.substring(BUILT_IN_PREFIX.length()) + ".jsonl";
        try (InputStream in = Trace.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw InvalidWorkloadException.of(
                        "no built-in trace \"%s\"; expected builtin:trays or builtin:permits", name);
            }
            return read(in);
        }
    }

    /** Reads a trace; errors include the line number. */
    public static Trace read(InputStream in) throws IOException, InvalidWorkloadException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        String headerLine = lines.readLine();
        if (headerLine == null) {
            throw InvalidWorkloadException.of("line 1: the trace is empty, expected a header");
        }
        long seed = readSeed(headerLine);
        List<TraceEntry> entries = new ArrayList<>();
        int lineNumber = 1;
        long previousOffset = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            lineNumber++;
            TraceEntry entry = new TraceLine(lineNumber, parseObject(lineNumber, line)).parse();
            if (entry.offsetMs() < previousOffset) {
                throw InvalidWorkloadException.of(
                        "line %d: t is %d, before %d of the previous entry",
                        lineNumber, entry.offsetMs(), previousOffset);
            }
            previousOffset = entry.offsetMs();
            entries.add(entry);
        }
        return new Trace(seed, entries);
    }

    /** Writes the trace in its file format. */
    public void write(Writer out) throws IOException {
        ObjectNode header = JSON.createObjectNode();
        header.put("format", FORMAT).put("version", VERSION).put("seed", seed);
        out.write(header + "\n");
        for (TraceEntry e : entries) {
            ObjectNode line = JSON.createObjectNode();
            line.put("t", e.offsetMs())
                    .put("customer", e.customer())
                    .put("service", e.service())
                    .put("kind", e.kind().text());
            putIfPresent(line, "path", e.path());
            putIfPresent(line, "prompt", e.promptTokens());
            putIfPresent(line, "group", e.prefixGroup());
            putIfPresent(line, "answer", e.answerTokens());
            line.put("deadline", e.deadlineMs());
            putIfPresent(line, "key", e.key());
            putIfPresent(line, "reader", e.readerBytesPerSecond());
            out.write(line + "\n");
        }
    }

    private static void putIfPresent(ObjectNode line, String field, String value) {
        if (!value.isEmpty()) {
            line.put(field, value);
        }
    }

    private static void putIfPresent(ObjectNode line, String field, int value) {
        if (value != 0) {
            line.put(field, value);
        }
    }

    private static long readSeed(String headerLine) throws InvalidWorkloadException {
        JsonNode header = parseObject(1, headerLine);
        if (!header.path("format").asText().equals(FORMAT)) {
            throw InvalidWorkloadException.of("line 1: the header has no \"format\":\"%s\"", FORMAT);
        }
        int version = header.path("version").asInt();
        if (version != VERSION) {
            throw InvalidWorkloadException.of(
                    "line 1: format version %d, this build reads version %d", version, VERSION);
        }
        if (!header.path("seed").isIntegralNumber()) {
            throw InvalidWorkloadException.of("line 1: field \"seed\" is not an integer");
        }
        return header.path("seed").asLong();
    }

    private static JsonNode parseObject(int lineNumber, String text) throws InvalidWorkloadException {
        try {
            JsonNode node = JSON.readTree(text);
            if (node == null || !node.isObject()) {
                throw InvalidWorkloadException.of("line %d: not a JSON object", lineNumber);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw InvalidWorkloadException.of(
                    "line %d, column %d: %s", lineNumber, e.getLocation().getColumnNr(), e.getOriginalMessage());
        }
    }

    /** Parser of the entry in one line. */
    private record TraceLine(int lineNumber, JsonNode node) {
        TraceEntry parse() throws InvalidWorkloadException {
            for (String field : (Iterable<String>) node::fieldNames) {
                if (!FIELDS.contains(field)) {
                    throw InvalidWorkloadException.of("line %d: unknown field \"%s\"", lineNumber, field);
                }
            }
            RequestKind kind = parseKind();
            TraceEntry entry = new TraceEntry(
                    integer("t", MAX_MILLIS, true),
                    text("customer", true),
                    text("service", true),
                    text("path", false),
                    kind,
                    (int) integer("prompt", MAX_TOKENS, kind.isCompletion()),
                    text("group", false),
                    (int) integer("answer", MAX_TOKENS, kind.isCompletion()),
                    integer("deadline", MAX_MILLIS, true),
                    text("key", false),
                    (int) integer("reader", Integer.MAX_VALUE, false));
            if (kind == RequestKind.GET && !entry.key().isEmpty()) {
                throw InvalidWorkloadException.of(
                        "line %d: a get request must not have a key, because it is idempotent", lineNumber);
            }
            return entry;
        }

        private RequestKind parseKind() throws InvalidWorkloadException {
            String text = text("kind", true);
            Optional<RequestKind> kind = Arrays.stream(RequestKind.values())
                    .filter(k -> k.text().equals(text))
                    .findFirst();
            return kind.orElseThrow(() -> InvalidWorkloadException.of(
                    "line %d: kind \"%s\" is not one of %s",
                    lineNumber, text, Arrays.toString(RequestKind.values()).toLowerCase(Locale.ROOT)));
        }

        private String text(String field, boolean required) throws InvalidWorkloadException {
            JsonNode value = node.path(field);
            if (value.isMissingNode() && !required) {
                return "";
            }
            if (!value.isTextual() || value.asText().isBlank()) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" must be a non-blank string", lineNumber, field);
            }
            if (!SAFE_TEXT.matcher(value.asText()).matches()) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" has characters that are not allowed in a header or path",
                        lineNumber, field);
            }
            return value.asText();
        }

        private long integer(String field, long max, boolean required) throws InvalidWorkloadException {
            JsonNode value = node.path(field);
            if (value.isMissingNode() && !required) {
                return 0;
            }
            if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0 || value.asLong() > max) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" must be a whole number from 0 to %d", lineNumber, field, max);
            }
            return value.asLong();
        }
    }
}
