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
 * A recorded or planned sequence of requests; docs/traces.md describes its text form.
 *
 * @param seed the seed that the text of the prompts depends on
 * @param entries the requests in the order of their offsets
 */
public record Trace(long seed, List<TraceEntry> entries) {
    /** The format version that this build reads and writes. */
    public static final int VERSION = 1;

    /** The prefix of the name of a trace that comes with the program. */
    public static final String BUILT_IN = "builtin:";

    /** The largest prompt and answer; above the million tokens of the design size. */
    static final int MAX_TOKENS = 4_000_000;

    private static final String FORMAT = "jujuberouter-trace";
    private static final long MAX_MILLIS = 7L * 24 * 3600 * 1000;
    private static final Set<String> FIELDS = Set.of(
            "t", "customer", "service", "path", "kind", "prompt", "group", "answer", "deadline", "key", "reader");
    private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9._~/?=&%-]+");
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Copies the entries. */
    public Trace {
        entries = List.copyOf(entries);
    }

    /** Reads a trace from a file, or one that comes with the program when the name starts with {@link #BUILT_IN}. */
    public static Trace open(String name) throws IOException, InvalidWorkloadException {
        if (!name.startsWith(BUILT_IN)) {
            try (InputStream in = Files.newInputStream(Path.of(name))) {
                return read(in);
            }
        }
        String resource = "/traces/" + name.substring(BUILT_IN.length()) + ".jsonl";
        try (InputStream in = Trace.class.getResourceAsStream(resource)) {
            if (in == null) {
                throw InvalidWorkloadException.of(
                        "no trace \"%s\" comes with the program; there are trays and permits", name);
            }
            return read(in);
        }
    }

    /** Reads a trace; each error names its line. */
    public static Trace read(InputStream in) throws IOException, InvalidWorkloadException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        String first = lines.readLine();
        if (first == null) {
            throw InvalidWorkloadException.of("line 1: the trace is empty, expected a header");
        }
        long seed = header(first);
        List<TraceEntry> entries = new ArrayList<>();
        int number = 1;
        long last = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            number++;
            TraceEntry entry = new Line(number, object(number, line)).entry();
            if (entry.offsetMs() < last) {
                throw InvalidWorkloadException.of(
                        "line %d: t is %d, before %d of the line above", number, entry.offsetMs(), last);
            }
            last = entry.offsetMs();
            entries.add(entry);
        }
        return new Trace(seed, entries);
    }

    /** Writes the trace in its text form. */
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
            putIf(line, "path", e.path());
            putIf(line, "prompt", e.promptTokens());
            putIf(line, "group", e.prefixGroup());
            putIf(line, "answer", e.answerTokens());
            line.put("deadline", e.deadlineMs());
            putIf(line, "key", e.key());
            putIf(line, "reader", e.readerBytesPerSecond());
            out.write(line + "\n");
        }
    }

    private static void putIf(ObjectNode line, String field, String value) {
        if (!value.isEmpty()) {
            line.put(field, value);
        }
    }

    private static void putIf(ObjectNode line, String field, int value) {
        if (value != 0) {
            line.put(field, value);
        }
    }

    private static long header(String text) throws InvalidWorkloadException {
        JsonNode header = object(1, text);
        if (!header.path("format").asText().equals(FORMAT)) {
            throw InvalidWorkloadException.of("line 1: the header has no \"format\":\"%s\"", FORMAT);
        }
        int version = header.path("version").asInt();
        if (version != VERSION) {
            throw InvalidWorkloadException.of(
                    "line 1: format version %d, this build reads version %d", version, VERSION);
        }
        if (!header.path("seed").isIntegralNumber()) {
            throw InvalidWorkloadException.of("line 1: field \"seed\" is not a whole number");
        }
        return header.path("seed").asLong();
    }

    private static JsonNode object(int number, String text) throws InvalidWorkloadException {
        try {
            JsonNode node = JSON.readTree(text);
            if (node == null || !node.isObject()) {
                throw InvalidWorkloadException.of("line %d: not a JSON object", number);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw InvalidWorkloadException.of(
                    "line %d, column %d: %s", number, e.getLocation().getColumnNr(), e.getOriginalMessage());
        }
    }

    /** The fields of one line. */
    private record Line(int number, JsonNode node) {
        TraceEntry entry() throws InvalidWorkloadException {
            for (String field : (Iterable<String>) node::fieldNames) {
                if (!FIELDS.contains(field)) {
                    throw InvalidWorkloadException.of("line %d: unknown field \"%s\"", number, field);
                }
            }
            RequestKind kind = kind();
            TraceEntry entry = new TraceEntry(
                    whole("t", MAX_MILLIS, true),
                    text("customer", true),
                    text("service", true),
                    text("path", false),
                    kind,
                    (int) whole("prompt", MAX_TOKENS, kind.isCompletion()),
                    text("group", false),
                    (int) whole("answer", MAX_TOKENS, kind.isCompletion()),
                    whole("deadline", MAX_MILLIS, true),
                    text("key", false),
                    (int) whole("reader", Integer.MAX_VALUE, false));
            if (kind == RequestKind.GET && !entry.key().isEmpty()) {
                throw InvalidWorkloadException.of("line %d: a get has no key, because it is idempotent", number);
            }
            return entry;
        }

        private RequestKind kind() throws InvalidWorkloadException {
            String text = text("kind", true);
            Optional<RequestKind> kind = Arrays.stream(RequestKind.values())
                    .filter(k -> k.text().equals(text))
                    .findFirst();
            return kind.orElseThrow(() -> InvalidWorkloadException.of(
                    "line %d: kind \"%s\" is not one of %s",
                    number, text, Arrays.toString(RequestKind.values()).toLowerCase(Locale.ROOT)));
        }

        private String text(String field, boolean required) throws InvalidWorkloadException {
            JsonNode value = node.path(field);
            if (value.isMissingNode() && !required) {
                return "";
            }
            if (!value.isTextual() || value.asText().isBlank()) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" must be a text that is not blank", number, field);
            }
            if (!PLAIN.matcher(value.asText()).matches()) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" has characters that do not go into a header or path", number, field);
            }
            return value.asText();
        }

        private long whole(String field, long bound, boolean required) throws InvalidWorkloadException {
            JsonNode value = node.path(field);
            if (value.isMissingNode() && !required) {
                return 0;
            }
            if (!value.isIntegralNumber()
                    || !value.canConvertToLong()
                    || value.asLong() < 0
                    || value.asLong() > bound) {
                throw InvalidWorkloadException.of(
                        "line %d: field \"%s\" must be a whole number from 0 to %d", number, field, bound);
            }
            return value.asLong();
        }
    }
}
