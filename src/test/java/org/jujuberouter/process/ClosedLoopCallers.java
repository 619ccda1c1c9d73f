package org.jujuberouter.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A closed-loop load: each caller sends its next completion through one instance once the last one is answered, until a
 * given time or until it is stopped.
 */
final class ClosedLoopCallers {
    private static final AtomicInteger MARKER_COUNTER = new AtomicInteger();

    private final AtomicInteger completed = new AtomicInteger();
    private final List<CompletableFuture<Void>> loopFutures = new ArrayList<>();
    private final List<Long> latenciesMs = new ArrayList<>();

    private volatile long endNanos;

    private ClosedLoopCallers(long endNanos) {
        this.endNanos = endNanos;
    }

    /** Starts callers that run until they are stopped. */
    static ClosedLoopCallers start(TestCluster cluster, int instance, int callerCount, int tokens) {
        return start(cluster, instance, callerCount, tokens, Long.MAX_VALUE);
    }

    static ClosedLoopCallers start(TestCluster cluster, int instance, int callerCount, int tokens, long endNanos) {
        ClosedLoopCallers callers = new ClosedLoopCallers(endNanos);
        for (int i = 0; i < callerCount; i++) {
            CompletableFuture<Void> loopFuture = new CompletableFuture<>();
            callers.loopFutures.add(loopFuture);
            Thread.ofVirtual().start(() -> {
                try {
                    while (System.nanoTime() < callers.endNanos) {
                        callers.sendRequest(cluster, instance, tokens);
                    }
                    loopFuture.complete(null);
                } catch (IOException | RuntimeException | AssertionError e) {
                    loopFuture.completeExceptionally(e);
                }
            });
        }
        return callers;
    }

    private void sendRequest(TestCluster cluster, int instance, int tokens) throws IOException {
        String marker = "marker-loop" + MARKER_COUNTER.incrementAndGet();
        Answer answer = cluster.stream(instance, marker, tokens).join();
        answer.assertComplete(marker, tokens);
        synchronized (latenciesMs) {
            latenciesMs.add(answer.durationMs());
        }
        completed.incrementAndGet();
    }

    /** Tells the callers to send no further requests; outstanding ones are completed. */
    void stop() {
        endNanos = System.nanoTime();
    }

    /** Returns the number of complete answers so far. */
    int completed() {
        return completed.get();
    }

    /** Waits until all callers have ended and fails if any answer was not complete. */
    void assertAllComplete() {
        loopFutures.forEach(CompletableFuture::join);
    }

    /** Returns the median latency of the complete answers. */
    long medianLatencyMs() {
        synchronized (latenciesMs) {
            return latenciesMs.stream()
                    .sorted()
                    .skip(latenciesMs.size() / 2)
                    .findFirst()
                    .orElseThrow();
        }
    }
}
