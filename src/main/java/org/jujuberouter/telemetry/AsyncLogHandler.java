package org.jujuberouter.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.jujuberouter.misc.Ticker;

/**
 * Writes log lines on a separate thread and within a rate limit, so that a blocked output stream does not block
 * callers.
 *
 * <p>Lines dropped because of the rate limit or a full queue are counted; the counts are logged with the next write.
 */
public final class AsyncLogHandler extends Handler {
    /** Prefix of the names of loggers for individual requests. */
    public static final String REQUEST_LOGGER = "org.jujuberouter.request";

    /** Wakes the writer thread when the handler is closed. */
    private static final LogRecord CLOSE_MARKER = new LogRecord(Level.OFF, "");

    /** Number of lines that may be queued, about 1 MB. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Time for which lines are collected into one write. */
    private static final long BATCHING_MS = 20;

    /** Time that {@link #close} waits for queued lines to be written. */
    private static final long CLOSE_TIMEOUT_MS = 400;

    private final OutputStream out;
    private final LogRateLimiter rateLimiter;
    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread writer;
    private long reportedDrops;
    private volatile boolean closed;

    private AsyncLogHandler(OutputStream out, LogRateLimiter rateLimiter, Formatter formatter) {
        this.out = out;
        this.rateLimiter = rateLimiter;
        setFormatter(formatter);
        this.writer = Thread.ofPlatform().daemon().name("log").unstarted(this::writeUntilClosed);
    }

    /** Starts a handler that writes to the stream. */
    public static AsyncLogHandler to(OutputStream out, Ticker ticker, Formatter formatter) {
        AsyncLogHandler log = new AsyncLogHandler(out, LogRateLimiter.of(ticker), formatter);
        log.writer.start();
        return log;
    }

    /** Returns the rate limiter, which counts the dropped lines. */
    public LogRateLimiter rateLimiter() {
        return rateLimiter;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!isLoggable(logRecord)) {
            return;
        }
        LogRateLimiter.Kind kind = kind(logRecord);
        if (rateLimiter.tryAcquire(kind) && !queue.offer(logRecord)) {
            rateLimiter.recordDropped(kind);
        }
    }

    private static LogRateLimiter.Kind kind(LogRecord logRecord) {
        if (!String.valueOf(logRecord.getLoggerName()).startsWith(REQUEST_LOGGER)) {
            return LogRateLimiter.Kind.STATE;
        }
        return logRecord.getLevel().intValue() > Level.INFO.intValue()
                ? LogRateLimiter.Kind.FAILURE
                : LogRateLimiter.Kind.ROUTINE;
    }

    private void writeUntilClosed() {
        List<LogRecord> logRecords = new ArrayList<>();
        try {
            while (!closed || !queue.isEmpty()) {
                LogRecord first = queue.poll(closed ? 0 : 1_000, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                Thread.sleep(closed ? 0 : BATCHING_MS);
                logRecords.add(first);
                queue.drainTo(logRecords);
                write(logRecords);
                logRecords.clear();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The output stream is closed, and there is no other place to report that.
            closed = true;
        }
    }

    private void write(List<LogRecord> logRecords) throws IOException {
        StringBuilder text = new StringBuilder();
        for (LogRecord logRecord : logRecords) {
            if (logRecord != CLOSE_MARKER) {
                text.append(getFormatter().format(logRecord));
            }
        }
        long dropped = 0;
        for (LogRateLimiter.Kind kind : LogRateLimiter.Kind.values()) {
            dropped += rateLimiter.droppedCount(kind);
        }
        if (dropped > reportedDrops) {
            reportedDrops = dropped;
            text.append(getFormatter().format(droppedLinesRecord()));
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private LogRecord droppedLinesRecord() {
        LogRecord logRecord = new LogRecord(Level.WARNING, "[log] lines left out since the start");
        logRecord.setLoggerName(AsyncLogHandler.class.getName());
        logRecord.setParameters(new Object[] {
            Map.entry("routine", rateLimiter.droppedCount(LogRateLimiter.Kind.ROUTINE)),
            Map.entry("failure", rateLimiter.droppedCount(LogRateLimiter.Kind.FAILURE)),
            Map.entry("state", rateLimiter.droppedCount(LogRateLimiter.Kind.STATE))
        });
        return logRecord;
    }

    @Override
    public void flush() {
        // The writer thread flushes after each write.
    }

    /** Writes the queued lines, for at most {@code CLOSE_TIMEOUT_MS}. */
    @Override
    public void close() {
        closed = true;
        queue.offer(CLOSE_MARKER);
        try {
            writer.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
