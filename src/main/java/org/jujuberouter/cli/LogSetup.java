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
 * Sends what {@link System.Logger} gets to standard error, one line each, or as JSON to standard output.
 *
 * <p>A line has time, level, the message with its part's prefix, and fields. Fields are the parameters of the message that
 * are map entries, such as {@code log.log(INFO, "[supervisor] started a child", Map.entry("child", name))}.
 */
public final class LogSetup {
    /** The levels that {@code --log-level} takes. */
    public enum LogLevel {
        DEBUG(Level.FINE),
        INFO(Level.INFO),
        WARNING(Level.WARNING),
        ERROR(Level.SEVERE);

        private final Level level;

        LogLevel(Level level) {
            this.level = level;
        }
    }

    private static final DateTimeFormatter TIME =
            new DateTimeFormatterBuilder().appendInstant(3).toFormatter(Locale.ROOT);

    // Kept here, because the log manager holds loggers weakly and a collected one loses its level.
    private static final Logger OWN = Logger.getLogger("org.jujuberouter");

    private LogSetup() {}

    /** Replaces the handlers of this process; messages below the level are dropped. */
    public static void install(LogLevel level) {
        Handler console = new ConsoleHandler();
        console.setFormatter(new LineFormatter());
        install(level, console);
    }

    /** Sends what the process logs to standard output as JSON, within a budget and without waiting for the reader. */
    static AsyncLogHandler installJson(LogLevel level, String instance) {
        AsyncLogHandler log = AsyncLogHandler.to(
                new FileOutputStream(FileDescriptor.out), Ticker.system(), JsonLineFormatter.of(instance));
        install(level, log);
        return log;
    }

    private static void install(LogLevel level, Handler handler) {
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        // Libraries are no more talkative than this, also when our own parts log details.
        root.setLevel(level == LogLevel.DEBUG ? Level.INFO : level.level);
        OWN.setLevel(level.level);
    }

    /** Formats one line; the stack trace of an exception follows on lines of its own at level ERROR and DEBUG. */
    static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord entry) {
            StringBuilder line = new StringBuilder(TIME.format(Instant.ofEpochMilli(entry.getMillis())));
            line.append(' ').append(name(entry.getLevel())).append(' ');
            line.append(formatMessage(entry).replace("\n", "\\n"));
            if (entry.getParameters() != null) {
                for (Object parameter : entry.getParameters()) {
                    if (parameter instanceof Map.Entry<?, ?> field) {
                        line.append(' ').append(field.getKey()).append('=').append(quoted(field.getValue()));
                    }
                }
            }
            Throwable thrown = entry.getThrown();
            if (thrown != null) {
                line.append(" error=").append(quoted(thrown));
            }
            line.append('\n');
            if (thrown != null
                    && !entry.getLevel().equals(Level.INFO)
                    && !entry.getLevel().equals(Level.WARNING)) {
                StringWriter trace = new StringWriter();
                thrown.printStackTrace(new PrintWriter(trace));
                line.append(trace);
            }
            return line.toString();
        }

        private static String name(Level level) {
            if (level.intValue() >= Level.SEVERE.intValue()) {
                return "ERROR";
            } else if (level.intValue() >= Level.WARNING.intValue()) {
                return "WARNING";
            }
            return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
        }

        private static String quoted(Object value) {
            String text = String.valueOf(value);
            boolean plain = !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c < 127);
            return plain
                    ? text
                    : "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + "\"";
        }
    }
}
