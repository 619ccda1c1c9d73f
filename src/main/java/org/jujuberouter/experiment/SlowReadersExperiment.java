package org.jujuberouter.experiment;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.memory.MemoryBudget;
import org.jujuberouter.memory.MemoryDecision;
import org.jujuberouter.memory.MemoryLimits;
import org.jujuberouter.memory.StreamAccount;
import org.jujuberouter.misc.ManualTicker;

/**
 * Measures the memory that one instance buffers for slow readers, and the delay that this causes for fast readers.
 *
 * <p>All streams start within ten seconds, and all engines produce at the same rate. The baseline reads everything that
 * an engine has produced and buffers it without limit. Virtual time advances in fixed ticks. Output of an engine is
 * retained, so a detached stream can resume where it stopped.
 */
public final class SlowReadersExperiment {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration MAX_DURATION = Duration.ofHours(1);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CUSTOMERS = 10;
    private static final int STREAMS = 1_000;
    private static final int ANSWER_BYTES = 256 * 1024;
    /** About 80 events of 250 bytes per second. */
    private static final int ENGINE_BYTES_PER_SECOND = 20_000;

    private static final int FAST_BYTES_PER_SECOND = 1_000_000;
    /** Of ten callers, six read 1 kB/s, two 10 kB/s and two 1 MB/s. */
    private static final int[] READ_RATES_BYTES_PER_SECOND = {
        1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 10_000, 10_000, FAST_BYTES_PER_SECOND, FAST_BYTES_PER_SECOND
    };

    private SlowReadersExperiment() {}

    public static SlowReadersExperiment create() {
        return new SlowReadersExperiment();
    }

    /**
     * The result of one setup.
     *
     * @param setup name of the buffering scheme, as printed
     * @param peakBytes maximum of the bytes buffered at a time
     * @param streams requested streams
     * @param completed streams whose response was delivered completely
     * @param refused streams that were not opened because the memory budget allows no more streams
     * @param detached number of times that a stream was detached from its engine
     * @param fastP95DelayMillis 95th percentile of the delay of fast readers beyond the engine's generation time
     */
    public record SlowReadersResult(
            String setup,
            long peakBytes,
            int streams,
            int completed,
            int refused,
            int detached,
            double fastP95DelayMillis) {}

    /** State of one response stream. */
    private static final class SimulatedStream {
        private final int bytesPerSecond;
        private final int sizeBytes;
        private final long startNanos;
        private StreamAccount account;
        private boolean paused;
        private boolean refused;
        private int requestedBytes;
        private int readBytes;
        private double writtenBytes;
        private long endNanos = -1;

        private SimulatedStream(int bytesPerSecond, int sizeBytes, long startNanos) {
            this.bytesPerSecond = bytesPerSecond;
            this.sizeBytes = sizeBytes;
            this.startNanos = startNanos;
        }

        private int availableBytes(long nowNanos) {
            double produced = (nowNanos - startNanos) / NANOS_PER_SECOND * ENGINE_BYTES_PER_SECOND;
            return (int) Math.min(sizeBytes, produced) - readBytes;
        }
    }

    /** Runs the unbounded and the bounded setup on the same streams. */
    public List<SlowReadersResult> run(long seed) {
        return List.of(run(seed, false), run(seed, true));
    }

    private static SlowReadersResult run(long seed, boolean bounded) {
        ManualTicker ticker = ManualTicker.atZero();
        MemoryBudget budget = MemoryBudget.of(MemoryLimits.standard(), ticker);
        List<SimulatedStream> streams = streams(seed);
        long peakBytes = 0;
        int detached = 0;
        while (streams.stream().anyMatch(stream -> stream.endNanos < 0 && !stream.refused)
                && ticker.nanos() < MAX_DURATION.toNanos()) {
            ticker.advance(TICK);
            long bufferedBytes = 0;
            for (int i = 0; i < streams.size(); i++) {
                SimulatedStream stream = streams.get(i);
                if (ticker.nanos() < stream.startNanos || stream.endNanos >= 0 || stream.refused) {
                    continue;
                }
                if (bounded) {
                    detached += readBounded(stream, budget, CustomerId.of("customer-" + i % CUSTOMERS), ticker.nanos());
                } else {
                    stream.readBytes += stream.availableBytes(ticker.nanos());
                }
                bufferedBytes += stream.readBytes - (int) stream.writtenBytes;
                write(stream, ticker.nanos());
            }
            peakBytes = Math.max(peakBytes, bounded ? Math.max(bufferedBytes, budget.heldBytes()) : bufferedBytes);
        }
        int completed = (int) streams.stream()
                .filter(stream -> stream.endNanos >= 0 && stream.writtenBytes == stream.sizeBytes)
                .count();
        int refused = (int) streams.stream().filter(stream -> stream.refused).count();
        String setup = bounded ? "ledger" : "unbounded";
        return new SlowReadersResult(
                setup, peakBytes, streams.size(), completed, refused, detached, fastP95DelayMillis(streams));
    }

    private static List<SimulatedStream> streams(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<SimulatedStream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int sizeBytes = ANSWER_BYTES + random.nextInt(2 * ANSWER_BYTES);
            long startNanos = random.nextLong(Duration.ofSeconds(10).toNanos());
            streams.add(new SimulatedStream(
                    READ_RATES_BYTES_PER_SECOND[i / CUSTOMERS % READ_RATES_BYTES_PER_SECOND.length],
                    sizeBytes,
                    startNanos));
        }
        return streams;
    }

    /** Reads as much as the memory budget allows; returns 1 if the stream was detached, otherwise 0. */
    private static int readBounded(SimulatedStream stream, MemoryBudget budget, CustomerId customer, long nowNanos) {
        if (stream.account == null) {
            stream.account = budget.open(customer, () -> {}).orElse(null);
            stream.refused = stream.account == null;
        }
        if (stream.refused) {
            return 0;
        }
        if (!stream.paused) {
            stream.requestedBytes = Math.min(stream.availableBytes(nowNanos), MemoryLimits.GUARANTEED_BYTES);
            if (stream.requestedBytes == 0) {
                return 0;
            }
        }
        MemoryDecision decision =
                stream.paused ? stream.account.check() : stream.account.reserve(stream.requestedBytes);
        stream.paused = !(decision instanceof MemoryDecision.Accept);
        if (!stream.paused) {
            stream.readBytes += stream.requestedBytes;
        }
        return decision instanceof MemoryDecision.Detach ? 1 : 0;
    }

    private static void write(SimulatedStream stream, long nowNanos) {
        int writtenBefore = (int) stream.writtenBytes;
        stream.writtenBytes = Math.min(
                stream.readBytes, stream.writtenBytes + stream.bytesPerSecond * TICK.toNanos() / NANOS_PER_SECOND);
        if (stream.account != null) {
            stream.account.release((int) stream.writtenBytes - writtenBefore);
        }
        if (stream.writtenBytes == stream.sizeBytes) {
            stream.endNanos = nowNanos;
            if (stream.account != null) {
                stream.account.close();
            }
        }
    }

    private static double fastP95DelayMillis(List<SimulatedStream> streams) {
        double[] delays = streams.stream()
                .filter(stream -> stream.bytesPerSecond == FAST_BYTES_PER_SECOND && stream.endNanos >= 0)
                .mapToDouble(stream ->
                        (stream.endNanos - stream.startNanos) / 1e6 - 1e3 * stream.sizeBytes / ENGINE_BYTES_PER_SECOND)
                .sorted()
                .toArray();
        return delays.length == 0 ? 0 : delays[(int) Math.ceil(0.95 * delays.length) - 1];
    }

    /** Prints the rows as a table. */
    public static void print(List<SlowReadersResult> rows, PrintStream out) {
        out.printf(
                "%-10s %10s %8s %8s %8s %9s %14s%n",
                "setup", "peak MiB", "streams", "whole", "refused", "detached", "fast delay ms");
        for (SlowReadersResult row : rows) {
            out.printf(
                    "%-10s %10.1f %8d %8d %8d %9d %14.1f%n",
                    row.setup(),
                    row.peakBytes() / 1024.0 / 1024.0,
                    row.streams(),
                    row.completed(),
                    row.refused(),
                    row.detached(),
                    row.fastP95DelayMillis());
        }
    }
}
