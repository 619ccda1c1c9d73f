package org.jujuberouter.load;

import java.io.PrintWriter;
import java.net.URI;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.jujuberouter.report.RequestRecord;

/**
 * Replays a trace against instances as an open-loop load.
 *
 * <p>Each request starts at its intended time, independently of the completion of earlier requests, and its times are
 * measured from there. A request that would exceed the limit of open requests is not sent and counts as a fault, so that
 * the result shows whether the load generator itself was overloaded.
 */
public final class LoadRunner {
    /** Fault of a request that was not sent because the limit of open requests was reached. */
    public static final String NOT_SENT = "not-sent";

    private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final List<URI> targets;
    private final Map<String, String> models;
    private final int maxOpen;
    private final PrintWriter progress;

    private LoadRunner(List<URI> targets, Map<String, String> models, int maxOpen, PrintWriter progress) {
        this.targets = List.copyOf(targets);
        this.models = Map.copyOf(models);
        this.maxOpen = maxOpen;
        this.progress = progress;
    }

    /**
     * Creates a runner.
     *
     * @param targets the instances, called round-robin
     * @param models model name by service; a service without an entry uses its own name
     * @param maxOpen limit of open requests
     * @param progress receives a progress line every second
     */
    public static LoadRunner of(List<URI> targets, Map<String, String> models, int maxOpen, PrintWriter progress) {
        return new LoadRunner(targets, models, maxOpen, progress);
    }

    /** Replays the trace at a multiple of its speed and passes the record of each request to the sink. */
    public LoadResult run(String name, Trace trace, double speed, Consumer<RequestRecord> sink)
            throws InterruptedException {
        LoadResult result = LoadResult.of(name);
        String runId = Long.toString(System.currentTimeMillis(), 36);
        Semaphore openRequests = new Semaphore(maxOpen);
        AtomicLong started = new AtomicLong();
        try (LoadClient client = LoadClient.of(models, runId, trace.seed());
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            client.warmUp(targets);
            long epochMillis = System.currentTimeMillis();
            long startNanos = System.nanoTime();
            Thread progressThread = Thread.ofVirtual().start(() -> reportProgress(result, trace, started));
            int index = 0;
            for (TraceEntry entry : trace.entries()) {
                long offsetNanos = (long) (entry.offsetMs() * 1e6 / speed);
                sleepUntil(startNanos + offsetNanos);
                result.recordStartDelay((System.nanoTime() - startNanos - offsetNanos) / 1000);
                int requestIndex = index++;
                started.incrementAndGet();
                if (!openRequests.tryAcquire()) {
                    complete(result, entry, notSent(entry, epochMillis + offsetNanos / 1_000_000), sink);
                    continue;
                }
                executor.execute(() -> {
                    try {
                        URI target = targets.get(requestIndex % targets.size());
                        complete(
                                result,
                                entry,
                                client.call(
                                        target,
                                        entry,
                                        requestIndex,
                                        startNanos + offsetNanos,
                                        epochMillis + offsetNanos / 1_000_000),
                                sink);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        openRequests.release();
                    }
                });
            }
            openRequests.acquire(maxOpen);
            progressThread.interrupt();
            progressThread.join();
        }
        return result;
    }

    private static void complete(
            LoadResult result, TraceEntry entry, LoadClient.CallResult call, Consumer<RequestRecord> sink) {
        result.add(entry, call);
        synchronized (sink) {
            sink.accept(call.record());
        }
    }

    private static LoadClient.CallResult notSent(TraceEntry entry, long startEpochMillis) {
        RequestRecord record = new RequestRecord(
                startEpochMillis,
                entry.customer(),
                entry.service(),
                entry.kind().text(),
                entry.promptTokens(),
                0,
                0,
                "not-run",
                NOT_SENT,
                -1,
                -1,
                0);
        return new LoadClient.CallResult(record, new Histogram(2), "");
    }

    private static void sleepUntil(long timeNanos) throws InterruptedException {
        long remainingNanos = timeNanos - System.nanoTime();
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
    }

    private void reportProgress(LoadResult result, Trace trace, AtomicLong started) {
        long startNanos = System.nanoTime();
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(PROGRESS_INTERVAL_NANOS);
                progress.printf(
                        Locale.ROOT,
                        "[load] %.0f s: %d of %d started, %d open, %d whole, %d not run, faults %s%n",
                        (System.nanoTime() - startNanos) / 1e9,
                        started.get(),
                        trace.entries().size(),
                        started.get() - result.requests(),
                        result.correctResponses(),
                        result.notRun(),
                        result.faults());
                progress.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
