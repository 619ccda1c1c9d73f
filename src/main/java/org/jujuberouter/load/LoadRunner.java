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
 * Runs a trace against instances.
 *
 * <p>Each request starts at its intended time, whatever became of the earlier ones, and its times count from there. A
 * request that finds the tool at its own bound of open requests is not sent and counts as a fault, so an overloaded tool
 * shows in the result.
 */
public final class LoadRunner {
    /** The fault of a request that the tool could not send. */
    public static final String NOT_SENT = "not-sent";

    private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(1);

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
     * Returns a runner.
     *
     * @param targets the instances, called in turn
     * @param models the model to name for a service; the service's own name if absent
     * @param maxOpen the bound of open requests
     * @param progress takes a line each second
     */
    public static LoadRunner of(List<URI> targets, Map<String, String> models, int maxOpen, PrintWriter progress) {
        return new LoadRunner(targets, models, maxOpen, progress);
    }

    /** Runs the whole trace, at a multiple of its speed, and hands each record to the sink. */
    public LoadResult run(String name, Trace trace, double speed, Consumer<RequestRecord> sink)
            throws InterruptedException {
        LoadResult result = LoadResult.of(name);
        String runId = Long.toString(System.currentTimeMillis(), 36);
        Semaphore open = new Semaphore(maxOpen);
        AtomicLong started = new AtomicLong();
        try (LoadClient client = LoadClient.of(models, runId, trace.seed());
                ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            client.warmUp(targets);
            long epoch = System.currentTimeMillis();
            long begin = System.nanoTime();
            Thread reporter = Thread.ofVirtual().start(() -> report(result, trace, started));
            int index = 0;
            for (TraceEntry entry : trace.entries()) {
                long offset = (long) (entry.offsetMs() * 1e6 / speed);
                sleepUntil(begin + offset);
                result.lag((System.nanoTime() - begin - offset) / 1000);
                int number = index++;
                started.incrementAndGet();
                if (!open.tryAcquire()) {
                    end(result, entry, notSent(entry, epoch + offset / 1_000_000), sink);
                    continue;
                }
                threads.execute(() -> {
                    try {
                        URI target = targets.get(number % targets.size());
                        end(
                                result,
                                entry,
                                client.call(target, entry, number, begin + offset, epoch + offset / 1_000_000),
                                sink);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    } finally {
                        open.release();
                    }
                });
            }
            open.acquire(maxOpen);
            reporter.interrupt();
            reporter.join();
        }
        return result;
    }

    private static void end(
            LoadResult result, TraceEntry entry, LoadClient.Exchange exchange, Consumer<RequestRecord> sink) {
        result.add(entry, exchange);
        synchronized (sink) {
            sink.accept(exchange.record());
        }
    }

    private static LoadClient.Exchange notSent(TraceEntry entry, long startEpochMillis) {
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
        return new LoadClient.Exchange(record, new Histogram(2), "");
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    private void report(LoadResult result, Trace trace, AtomicLong started) {
        long begin = System.nanoTime();
        try {
            while (true) {
                TimeUnit.NANOSECONDS.sleep(PROGRESS_NANOS);
                progress.printf(
                        Locale.ROOT,
                        "[load] %.0f s: %d of %d started, %d open, %d whole, %d refused, faults %s%n",
                        (System.nanoTime() - begin) / 1e9,
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
