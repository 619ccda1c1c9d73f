package org.jujuberouter.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.engine.EngineCall;
import org.jujuberouter.engine.EngineClient;
import org.jujuberouter.engine.EngineEvent;
import org.jujuberouter.engine.EngineException;
import org.jujuberouter.engine.EngineStream;
import org.jujuberouter.memory.MemoryDecision;
import org.jujuberouter.memory.StreamAccount;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.outcome.Deadline;
import org.jujuberouter.stream.ResponseStream;
import org.jujuberouter.stream.StreamDecision;

/**
 * Reads an engine's response on a virtual thread of its own and enqueues it as events for the attempt.
 *
 * <p>Memory is reserved before data is enqueued, so the queue cannot exceed the memory limits. When a limit is reached,
 * the reader stops reading, which applies backpressure to the engine through TCP. If that takes too long, it closes the
 * connection and resumes at the current offset once the caller has read the buffered data.
 */
final class EngineReader implements Runnable {
    private static final Logger LOG = System.getLogger(EngineReader.class.getName());

    /** Memory used by a queued chunk in addition to its text. */
    private static final int CHUNK_OVERHEAD_BYTES = 128;

    private static final int MAX_FRAGMENT_CHARS = 4 * 1024;

    private final EngineClient engineClient;
    private final String address;
    private final EngineCall call;
    private final Deadline deadline;
    private final ResponseStream responseStream;
    private final StreamAccount account;
    private final Semaphore wakeSignal;
    private final BlockingQueue<Event> events;
    private final Ticker ticker;
    private final CountDownLatch finished = new CountDownLatch(1);
    private volatile boolean abandoned;
    private volatile EngineStream stream;
    private boolean resuming;
    private long offset;
    private int reservedBytes;

    private EngineReader(Source source, EngineCall call, boolean resuming, long offset) {
        this.engineClient = source.engineClient();
        this.address = source.address();
        this.deadline = source.deadline();
        this.responseStream = source.responseStream();
        this.account = source.account();
        this.wakeSignal = source.wakeSignal();
        this.events = source.events();
        this.ticker = source.ticker();
        this.call = call;
        this.resuming = resuming;
        this.offset = offset;
    }

    /** What all connections of an attempt share. */
    record Source(
            EngineClient engineClient,
            String address,
            Deadline deadline,
            ResponseStream responseStream,
            StreamAccount account,
            Semaphore wakeSignal,
            BlockingQueue<Event> events,
            Ticker ticker) {}

    /** An event of the attempt's queue. */
    sealed interface Event {
        /** Returns the reader of the connection concerned. */
        EngineReader reader();

        /** The engine started its response. */
        record Opened(EngineReader reader) implements Event {}

        /** A chunk or part of one, for which {@code bytes} of memory are reserved. */
        record Fragment(EngineReader reader, EngineEvent.Chunk chunk, int bytes) implements Event {}

        /** The engine's final event arrived. */
        record Ended(EngineReader reader, long length) implements Event {}

        /** The engine was probed for the state of the request on a separate connection. */
        record Probed(EngineReader reader, StreamDecision decision) implements Event {}

        /** The connection failed. */
        record Failed(EngineReader reader, EngineException cause) implements Event {}
    }

    /** Sends the call and reads its response. */
    static EngineReader submit(Source source, EngineCall call) {
        return start(new EngineReader(source, call, false, 0));
    }

    /** Resumes the response to a call that the engine already runs. */
    static EngineReader resume(Source source, EngineCall call, long offset) {
        return start(new EngineReader(source, call, true, offset));
    }

    private static EngineReader start(EngineReader reader) {
        Thread.ofVirtual().name("engine-read-" + reader.call.attempt()).start(reader);
        return reader;
    }

    @Override
    public void run() {
        try {
            while (!abandoned) {
                if (readConnection()) {
                    return;
                }
                awaitDrain();
                resuming = true;
            }
        } catch (EngineException e) {
            events.add(new Event.Failed(this, e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            closeStream();
            finished.countDown();
        }
    }

    /** Abandons this connection; called from other threads. */
    void abandon() {
        abandoned = true;
        wakeSignal.release();
        closeStream();
    }

    /** Abandons this connection unless the reader finishes within the given time. */
    void abandonAfter(Duration wait) {
        try {
            if (!finished.await(wait.toMillis(), TimeUnit.MILLISECONDS)) {
                abandon();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            abandon();
        }
    }

    private void closeStream() {
        EngineStream open = stream;
        if (open != null) {
            open.close();
        }
    }

    /** Reads to the end of the response; returns false if the connection was closed because of the memory limits. */
    private boolean readConnection() throws EngineException, InterruptedException {
        stream = resuming
                ? engineClient.resume(
                        address, call.attempt(), offset, deadline.remaining().plusMillis(1))
                : engineClient.submit(address, call);
        if (abandoned) {
            return true;
        }
        events.add(new Event.Opened(this));
        while (!abandoned) {
            switch (stream.next()) {
                case EngineEvent.Chunk chunk -> {
                    if (!enqueue(chunk)) {
                        closeStream();
                        return false;
                    }
                }
                case EngineEvent.End _ -> {
                    events.add(new Event.Ended(this, offset));
                    return true;
                }
                case EngineEvent.Failure failure -> throw EngineException.failed(address, 200, failure.message());
            }
        }
        return true;
    }

    /** Enqueues a chunk in fragments small enough to reserve; returns false if the connection must be closed. */
    private boolean enqueue(EngineEvent.Chunk chunk) throws InterruptedException {
        String text = chunk.text();
        int from = 0;
        do {
            int to = Math.min(text.length(), from + MAX_FRAGMENT_CHARS);
            boolean last = to == text.length();
            EngineEvent.Chunk fragment = from == 0 && last
                    ? chunk
                    : new EngineEvent.Chunk(
                            chunk.attempt(),
                            chunk.offset() + from,
                            last ? chunk.tokens() : 0,
                            text.substring(from, to),
                            last ? chunk.finishReason() : null);
            int bytes = fragment.text().getBytes(StandardCharsets.UTF_8).length + CHUNK_OVERHEAD_BYTES;
            if (!reserve(bytes)) {
                return false;
            }
            if (chunk.attempt().equals(call.attempt())) {
                offset = Math.max(offset, fragment.offset() + fragment.text().length());
            }
            events.add(new Event.Fragment(this, fragment, bytes));
            from = to;
        } while (from < text.length());
        return true;
    }

    /**
     * Waits until the memory is reserved; returns false if the wait took so long that the connection must be closed.
     */
    private boolean reserve(int bytes) throws InterruptedException {
        MemoryDecision decision = account.reserve(bytes);
        if (decision instanceof MemoryDecision.Accept) {
            return true;
        }
        responseStream.pause();
        while (!abandoned) {
            switch (decision) {
                case MemoryDecision.Accept _ -> {
                    responseStream.unpause();
                    return true;
                }
                case MemoryDecision.Pause pause -> awaitWakeSignal(pause.untilNanos());
                case MemoryDecision.Detach _ -> {
                    LOG.log(
                            Level.DEBUG,
                            "[memory] Closed the engine connection of attempt {0} because the caller reads too slowly",
                            call.attempt());
                    reservedBytes = bytes;
                    return false;
                }
                case MemoryDecision.Closed _ -> {
                    abandoned = true;
                    return false;
                }
            }
            decision = account.check();
        }
        return false;
    }

    /**
     * Waits until the caller has read the buffered data, then releases the reservation: the chunk will be read again.
     */
    private void awaitDrain() throws InterruptedException {
        while (!abandoned) {
            switch (account.check()) {
                case MemoryDecision.Accept _ -> {
                    account.release(reservedBytes);
                    responseStream.unpause();
                    return;
                }
                case MemoryDecision.Closed _ -> abandoned = true;
                case MemoryDecision.Pause pause -> awaitWakeSignal(pause.untilNanos());
                case MemoryDecision.Detach _ -> awaitWakeSignal(Long.MAX_VALUE);
            }
        }
    }

    private void awaitWakeSignal(long untilNanos) throws InterruptedException {
        long waitNanos = Math.min(TimeUnit.SECONDS.toNanos(1), Math.max(1_000_000L, untilNanos - ticker.nanos()));
        if (wakeSignal.tryAcquire(waitNanos, TimeUnit.NANOSECONDS)) {
            wakeSignal.drainPermits();
        }
    }
}
