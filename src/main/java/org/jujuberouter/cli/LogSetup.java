package org.jujuberouter.cli;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.Locale;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.telemetry.AsyncLogHandler;
import org.jujuberouter.telemetry.JsonLineFormatter;

/**
 * Configures where {@link System.Logger} writes: lines of text to standard error, or lines of JSON to standard output.
 *
 * <p>A line of text holds the timestamp, the level, the message with the prefix of its component, and fields. Fields
 * are those message parameters that are map entries, as in
 * {@code log.log(INFO, "[supervisor] started a child", Map.entry("child", name))}.
 */
public final class LogSetup {
    /** The values of {@code --log-level}. */
    public enum LogLevel {
        DEBUG(Level.FINE),
        INFO(Level.INFO),
        WARNING(Level.WARNING),
        ERROR(Level.SEVERE);

        private final Level julLevel;

        LogLevel(Level level) {
            this.julLevel = level;
        }
    }

    private static final DateTimeFormatter TIMESTAMP_FORMAT =
            new DateTimeFormatterBuilder().appendInstant(3).toFormatter(Locale.ROOT);

    // A strong reference: the log manager holds loggers weakly, and a collected logger loses its level.
    private static final Logger PROJECT_LOGGER = Logger.getLogger("org.jujuberouter");

    private LogSetup() {}

    /** Logs to standard error as text, in place of all existing handlers; drops messages below the level. */
    public static void install(LogLevel level) {
        Handler console = new ConsoleHandler();
        console.setFormatter(new LineFormatter());
        install(level, console);
    }

    /** Logs to standard output as JSON, rate-limited and without blocking on a slow reader; returns the handler. */
    static AsyncLogHandler installJson(LogLevel level, String instance) {
        AsyncLogHandler log = AsyncLogHandler.to(
                new FileOutputStream(FileDescriptor.out), Ticker.system(), JsonLineFormatter.of(instance));
        install(level, log);
        return log;
    }

    private static void install(LogLevel level, Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler previous : root.getHandlers()) {
            root.removeHandler(previous);
        }
        // Loggers of libraries may have a lower level of their own.
        handler.setLevel(level.julLevel);
        root.addHandler(handler);
        // Libraries log at INFO at most, even if the loggers of this project log at DEBUG.
        root.setLevel(level == LogLevel.DEBUG ? Level.INFO : level.julLevel);
        PROJECT_LOGGER.setLevel(level.julLevel);
    }

    /** Formats a record as one line; at ERROR and DEBUG, the stack trace of an exception follows on further lines. */
    static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord entry) {
            StringBuilder line = new StringBuilder(TIMESTAMP_FORMAT.format(Instant.ofEpochMilli(entry.getMillis())));
            line.append(' ').append(levelName(entry.getLevel())).append(' ');
            line.append(formatMessage(entry).replace("\n", "\\n"));
            if (entry.getParameters() != null) {
                for (Object parameter : entry.getParameters()) {
                    if (parameter instanceof Map.Entry<?, ?> field) {
                        line.append(' ').append(field.getKey()).append('=').append(quoteIfNeeded(field.getValue()));
                    }
                }
            }
            Throwable thrown = entry.getThrown();
            if (thrown != null) {
                line.append(" error=").append(quoteIfNeeded(thrown));
            }
            line.append('\n');
            if (thrown != null
                    && !entry.getLevel().equals(Level.INFO)
                    && !entry.getLevel().equals(Level.WARNING)) {
                StringWriter stackTrace = new StringWriter();
                thrown.printStackTrace(new PrintWriter(stackTrace));
                line.append(stackTrace);
            }
            return line.toString();
        }

        private static String levelName(Level level) {
            if (level.intValue() >= Level.SEVERE.intValue()) {
                return "ERROR";
            } else if (level.intValue() >= Level.WARNING.intValue()) {
                return "WARNING";
            }
            return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
        }

        private static String quoteIfNeeded(Object value) {
            String text = String.valueOf(value);
            boolean bare = !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c < 127);
            return bare
                    ? text
                    : "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
        }
    }
}
