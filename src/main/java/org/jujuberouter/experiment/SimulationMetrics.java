package org.jujuberouter.experiment;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;
import org.jujuberouter.routing.PromptSize;

/** Latency, cache and load metrics of one simulation run, without its warm-up. */
public final class SimulationMetrics {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FIRST_TOKEN_TARGET_MILLIS = 1200;

    private final Map<LengthBucket, Samples> firstTokensByLength = new EnumMap<>(LengthBucket.class);
    private final Samples allFirstTokens = new Samples();
    private final Samples shortFirstTokens = new Samples();
    private final Samples interTokenTimes = new Samples();
    private final Samples imbalance = new Samples();
    private final long measureFromNanos;
    private long promptTokens;
    private long cachedTokens;
    private int refused;

    /** Ranges of prompt lengths for which latencies are reported separately. */
    public enum LengthBucket {
        UP_TO_2K("1k", 2_048),
        UP_TO_20K("10k", 20_480),
        UP_TO_200K("100k", 204_800),
        ABOVE("1M", Long.MAX_VALUE);

        private final String label;
        private final long maxTokens;

        LengthBucket(String label, long maxTokens) {
            this.label = label;
            this.maxTokens = maxTokens;
        }

        /** Returns the label used in printed tables. */
        public String label() {
            return label;
        }

        static LengthBucket of(long tokens) {
            return Arrays.stream(values())
                    .filter(bucket -> tokens <= bucket.maxTokens)
                    .findFirst()
                    .orElseThrow();
        }
    }

    SimulationMetrics(long measureFromNanos) {
        this.measureFromNanos = measureFromNanos;
        for (LengthBucket bucket : LengthBucket.values()) {
            firstTokensByLength.put(bucket, new Samples());
        }
    }

    void recordCompleted(
            Workload.Arrival arrival,
            long firstAtCallerNanos,
            long completedNanos,
            long firstTokenNanos,
            long cachedPromptTokens) {
        if (arrival.nanos() < measureFromNanos) {
            return;
        }
        double firstTokenMillis = (firstAtCallerNanos - arrival.nanos()) / NANOS_PER_MILLI;
        firstTokensByLength.get(LengthBucket.of(arrival.promptTokens())).add(firstTokenMillis);
        allFirstTokens.add(firstTokenMillis);
        if (PromptSize.ofPrompt(arrival.promptTokens()) == PromptSize.SHORT) {
            shortFirstTokens.add(firstTokenMillis);
        }
        if (arrival.answerTokens() > 1) {
            interTokenTimes.add((completedNanos - firstTokenNanos) / NANOS_PER_MILLI / (arrival.answerTokens() - 1));
        }
        promptTokens += arrival.promptTokens();
        cachedTokens += cachedPromptTokens;
    }

    void recordRefused() {
        refused++;
    }

    void recordLoad(long nanos, int[] requests) {
        double mean = Arrays.stream(requests).average().orElse(0);
        if (nanos >= measureFromNanos && mean > 0) {
            imbalance.add(Arrays.stream(requests).max().orElse(0) / mean);
        }
    }

    /** Returns a quantile of the time to first token of prompts in a length range. */
    public double firstTokenMillis(LengthBucket length, double quantile) {
        return firstTokensByLength.get(length).quantile(quantile);
    }

    /** Returns a quantile of the time to first token of all requests. */
    public double firstTokenMillis(double quantile) {
        return allFirstTokens.quantile(quantile);
    }

    /** Returns a quantile of the time to first token of short prompts. */
    public double shortFirstTokenMillis(double quantile) {
        return shortFirstTokens.quantile(quantile);
    }

    /** Returns the share of requests whose first token arrived within 1.2 s. */
    public double shareWithinTarget() {
        return allFirstTokens.share(v -> v <= FIRST_TOKEN_TARGET_MILLIS);
    }

    /** Returns a quantile, over requests, of the mean time between two tokens of a request. */
    public double interTokenMillis(double quantile) {
        return interTokenTimes.quantile(quantile);
    }

    /** Returns the share of prompt tokens that were served from prefix caches. */
    public double cachedShare() {
        return promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens;
    }

    /** Returns the ratio of the most loaded engine's requests to the mean of all engines, averaged over time. */
    public double imbalance() {
        return imbalance.mean();
    }

    /** Returns the number of measured requests in a length range. */
    public int count(LengthBucket length) {
        return firstTokensByLength.get(length).count;
    }

    /** Returns the number of requests that fit no engine, including those during warm-up. */
    public int refusedRequests() {
        return refused;
    }

    private static final class Samples {
        private double[] values = new double[1024];
        private int count;
        private boolean sorted;

        void add(double value) {
            if (count == values.length) {
                values = Arrays.copyOf(values, 2 * count);
            }
            values[count++] = value;
            sorted = false;
        }

        double quantile(double q) {
            if (count == 0) {
                return 0;
            }
            if (!sorted) {
                Arrays.sort(values, 0, count);
                sorted = true;
            }
            return values[Math.min(count - 1, (int) Math.ceil(q * count) - 1)];
        }

        double share(Predicate<Double> condition) {
            return Arrays.stream(values, 0, count).filter(condition::test).count() / (double) Math.max(1, count);
        }

        double mean() {
            return Arrays.stream(values, 0, count).average().orElse(0);
        }
    }
}
