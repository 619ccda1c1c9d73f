package org.jujuberouter.telemetry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.jujuberouter.misc.Json;

/**
 * Formats a log record as one line of JSON.
 *
 * <p>A message has the form {@code [part] event}. Parameters of the record that are map entries become fields.
 */
public final class JsonLineFormatter extends Formatter {
    private final String instance;

    private JsonLineFormatter(String instance) {
        this.instance = instance;
    }

    /** Returns a formatter that adds the name of the instance to each line. */
    public static JsonLineFormatter of(String instance) {
        return new JsonLineFormatter(instance);
    }

    @Override
    public String format(LogRecord logRecord) {
        StringWriter line = new StringWriter(256);
        try (JsonGenerator json = Json.MAPPER.getFactory().createGenerator(line)) {
            write(json, logRecord);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot encode a log record as JSON", e);
        }
        return line.append('\n').toString();
    }

    private void write(JsonGenerator json, LogRecord logRecord) throws IOException {
        json.writeStartObject();
        json.writeStringField(
                "time", Instant.ofEpochMilli(logRecord.getMillis()).toString());
        json.writeStringField("level", logRecord.getLevel().getName());
        json.writeStringField("instance", instance);
        String message = formatMessage(logRecord);
        int end = message.startsWith("[") ? message.indexOf("] ") : -1;
        json.writeStringField("part", end < 0 ? logRecord.getLoggerName() : message.substring(1, end));
        json.writeStringField("event", end < 0 ? message : message.substring(end + 2));
        if (logRecord.getParameters() != null) {
            for (Object parameter : logRecord.getParameters()) {
                if (parameter instanceof Map.Entry<?, ?> field) {
                    writeField(json, field);
                }
            }
        }
        if (logRecord.getThrown() != null) {
            StringWriter trace = new StringWriter();
            logRecord.getThrown().printStackTrace(new PrintWriter(trace));
            json.writeStringField("error", trace.toString());
        }
        json.writeEndObject();
    }

    private static void writeField(JsonGenerator json, Map.Entry<?, ?> field) throws IOException {
        json.writeFieldName(String.valueOf(field.getKey()));
        switch (field.getValue()) {
            case Boolean b -> json.writeBoolean(b);
            case Integer i -> json.writeNumber(i);
            case Long l -> json.writeNumber(l);
            case Double d -> json.writeNumber(d);
            case null, default -> json.writeString(String.valueOf(field.getValue()));
        }
    }
}
