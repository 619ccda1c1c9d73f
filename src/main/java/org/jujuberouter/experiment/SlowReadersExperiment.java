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
 * Measures the memory that one instance holds for slow readers, and what it costs the fast ones.
 *
 * <p>All streams start within ten seconds, and their engines produce at the same rate. The baseline reads from the engines
 * whatever they have and buffers it without a bound. Time advances in ticks; what an engine produced stays available to a
 * stream that resumes.
 */
public final class SlowReadersExperiment {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration LIMIT = Duration.ofHours(1);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CUSTOMERS = 10;
    private static final int STREAMS = 1_000;
    private static final int ANSWER_BYTES = 256 * 1024;
    /** About 80 events of 250 bytes a second. */
    private static final int ENGINE_BYTES_PER_SECOND = 20_000;

    private static final int FAST_BYTES_PER_SECOND = 1_000_000;
    /** Of ten callers six read 1 kB/s, two read 10 kB/s and two are fast. */
    private static final int[] RATES = {
        1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 10_000, 10_000, FAST_BYTES_PER_SECOND, FAST_BYTES_PER_SECOND
    };

    private SlowReadersExperiment() {}

    /** Returns the experiment. */
    public static SlowReadersExperiment create() {
        return new SlowReadersExperiment();
    }

    /**
     * One row of the result.
     *
     * @param setup how bytes are bounded
     * @param peakBytes the most bytes held at once
     * @param streams streams asked for
     * @param whole answers that arrived whole
     * @param refused streams that were not opened
     * @param detached times that a stream was detached from its engine
     * @param fastDelayMillis 95th percentile of what fast callers waited beyond the engine's own time
     */
    public record Row(
            String setup, long peakBytes, int streams, int whole, int refused, int detached, double fastDelayMillis) {}

    /** One answer on its way. */
    private static final class Stream {
        private final int rate;
        private final int size;
        private final long startNanos;
        private StreamAccount account;
        private boolean paused;
        private boolean refused;
        private int wanted;
        private int read;
        private double written;
        private long endNanos = -1;

        private Stream(int rate, int size, long startNanos) {
            this.rate = rate;
            this.size = size;
            this.startNanos = startNanos;
        }

        private int available(long now) {
            double produced = (now - startNanos) / NANOS_PER_SECOND * ENGINE_BYTES_PER_SECOND;
            return (int) Math.min(size, produced) - read;
        }
    }

    /** Runs both setups on the same streams. */
    public List<Row> run(long seed) {
        return List.of(run(seed, false), run(seed, true));
    }

    private static Row run(long seed, boolean bounded) {
        ManualTicker ticker = ManualTicker.atZero();
        MemoryBudget budget = MemoryBudget.of(MemoryLimits.standard(), ticker);
        List<Stream> streams = streams(seed);
        long peak = 0;
        int detached = 0;
        while (streams.stream().anyMatch(s -> s.endNanos < 0 && !s.refused) && ticker.nanos() < LIMIT.toNanos()) {
            ticker.advance(TICK);
            long held = 0;
            for (int i = 0; i < streams.size(); i++) {
                Stream s = streams.get(i);
                if (ticker.nanos() < s.startNanos || s.endNanos >= 0 || s.refused) {
                    continue;
                }
                if (bounded) {
                    detached += readBounded(s, budget, CustomerId.of("customer-" + i % CUSTOMERS), ticker.nanos());
                } else {
                    s.read += s.available(ticker.nanos());
                }
                held += s.read - (int) s.written;
                write(s, ticker.nanos());
            }
            peak = Math.max(peak, bounded ? Math.max(held, budget.heldBytes()) : held);
        }
        int whole = (int) streams.stream()
                .filter(s -> s.endNanos >= 0 && s.written == s.size)
                .count();
        int refused = (int) streams.stream().filter(s -> s.refused).count();
        String setup = bounded ? "ledger" : "unbounded";
        return new Row(setup, peak, streams.size(), whole, refused, detached, fastDelay(streams));
    }

    private static List<Stream> streams(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int size = ANSWER_BYTES + random.nextInt(2 * ANSWER_BYTES);
            long start = random.nextLong(Duration.ofSeconds(10).toNanos());
            streams.add(new Stream(RATES[i / CUSTOMERS % RATES.length], size, start));
        }
        return streams;
    }

    /** Reads what the budget allows; returns 1 if the stream was detached. */
    private static int readBounded(Stream s, MemoryBudget budget, CustomerId customer, long now) {
        if (s.account == null) {
            s.account = budget.open(customer, () -> {}).orElse(null);
            s.refused = s.account == null;
        }
        if (s.refused) {
            return 0;
        }
        if (!s.paused) {
            s.wanted = Math.min(s.available(now), MemoryLimits.GUARANTEED_BYTES);
            if (s.wanted == 0) {
                return 0;
            }
        }
        MemoryDecision decision = s.paused ? s.account.check() : s.account.reserve(s.wanted);
        s.paused = !(decision instanceof MemoryDecision.Accept);
        if (!s.paused) {
            s.read += s.wanted;
        }
        return decision instanceof MemoryDecision.Detach ? 1 : 0;
    }

    private static void write(Stream s, long now) {
        int before = (int) s.written;
        s.written = Math.min(s.read, s.written + s.rate * TICK.toNanos() / NANOS_PER_SECOND);
        if (s.account != null) {
            s.account.release((int) s.written - before);
        }
        if (s.written == s.size) {
            s.endNanos = now;
            if (s.account != null) {
                s.account.close();
            }
        }
    }

    private static double fastDelay(List<Stream> streams) {
        double[] delays = streams.stream()
                .filter(s -> s.rate == FAST_BYTES_PER_SECOND && s.endNanos >= 0)
                .mapToDouble(s -> (s.endNanos - s.startNanos) / 1e6 - 1e3 * s.size / ENGINE_BYTES_PER_SECOND)
                .sorted()
                .toArray();
        return delays.length == 0 ? 0 : delays[(int) Math.ceil(0.95 * delays.length) - 1];
    }

    /** Prints the rows as a table. */
    public static void print(List<Row> rows, PrintStream out) {
        out.printf(
                "%-10s %10s %8s %8s %8s %9s %14s%n",
                "setup", "peak MiB", "streams", "whole", "refused", "detached", "fast delay ms");
        for (Row r : rows) {
            out.printf(
                    "%-10s %10.1f %8d %8d %8d %9d %14.1f%n",
                    r.setup(),
                    r.peakBytes() / 1024.0 / 1024.0,
                    r.streams(),
                    r.whole(),
                    r.refused(),
                    r.detached(),
                    r.fastDelayMillis());
        }
    }
}
