package org.jujuberouter.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jujuberouter.misc.Json;
import org.jujuberouter.misc.Ticker;
import org.junit.jupiter.api.Test;

/** Guards against logging that blocks the instance, and against lines that cannot be parsed. */
class AsyncLogHandlerTest {
    private static LogRecord line(Level level, String message, Object... fields) {
        LogRecord logRecord = new LogRecord(level, message);
        logRecord.setLoggerName(AsyncLogHandler.REQUEST_LOGGER);
        logRecord.setParameters(fields);
        return logRecord;
    }

    private static AsyncLogHandler logTo(OutputStream out) {
        return AsyncLogHandler.to(out, Ticker.system(), JsonLineFormatter.of("one"));
    }

    private static void awaitText(ByteArrayOutputStream out, String text) throws InterruptedException {
        long end = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!out.toString(StandardCharsets.UTF_8).contains(text)) {
            assertTrue(System.nanoTime() < end, text + " is not in " + out);
            Thread.sleep(10);
        }
    }

    @Test
    void writesOneJsonObjectPerLine() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AsyncLogHandler log = logTo(out);
        log.publish(line(Level.INFO, "[call] sent", Map.entry("request", "r\n1"), Map.entry("attempt", 2)));
        awaitText(out, "sent");
        log.close();
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(1, lines.size());
        JsonNode read = Json.MAPPER.readTree(lines.getFirst());
        assertEquals("call", read.path("part").asText());
        assertEquals("sent", read.path("event").asText());
        assertEquals("r\n1", read.path("request").asText());
        assertEquals(2, read.path("attempt").asInt());
        assertEquals("one", read.path("instance").asText());
    }

    /** A pipe that is not read accepts no more than its buffer. */
    @Test
    void doesNotBlockWhenTheOutputIsBlocked() throws Exception {
        try (PipedInputStream unread = new PipedInputStream(64);
                PipedOutputStream out = new PipedOutputStream(unread)) {
            AsyncLogHandler log = logTo(out);
            long start = System.nanoTime();
            for (int i = 0; i < 20_000; i++) {
                log.publish(line(Level.WARNING, "[call] refused", Map.entry("request", i)));
            }
            assertTrue(System.nanoTime() - start < Duration.ofSeconds(2).toNanos());
            assertTrue(log.rateLimiter().droppedCount(LogRateLimiter.Kind.FAILURE) > 15_000);
        }
    }

    @Test
    void reportsTheNumberOfDroppedLines() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        AsyncLogHandler log = logTo(out);
        for (int i = 0; i < 1_000; i++) {
            log.publish(line(Level.INFO, "[call] answered"));
        }
        awaitText(out, "lines left out");
        log.close();
    }
}
