package org.jujuberouter.experiment;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Predicate;
import org.jujuberouter.routing.PromptSize;

/** What one run showed. */
public final class Measurement {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double TARGET_MILLIS = 1200;

    private final Map<LengthClass, Samples> firstToken = new EnumMap<>(LengthClass.class);
    private final Samples all = new Samples();
    private final Samples shortLane = new Samples();
    private final Samples betweenTokens = new Samples();
    private final Samples imbalance = new Samples();
    private final long fromNanos;
    private long promptTokens;
    private long cachedTokens;
    private int refused;

    /** Classes of prompts by length. */
    public enum LengthClass {
        UP_TO_2K("1k", 2_048),
        UP_TO_20K("10k", 20_480),
        UP_TO_200K("100k", 204_800),
        ABOVE("1M", Long.MAX_VALUE);

        private final String label;
        private final long most;

        LengthClass(String label, long most) {
            this.label = label;
            this.most = most;
        }

        /** Returns the name used in tables. */
        public String label() {
            return label;
        }

        static LengthClass of(long tokens) {
            return Arrays.stream(values())
                    .filter(c -> tokens <= c.most)
                    .findFirst()
                    .orElseThrow();
        }
    }

    Measurement(long fromNanos) {
        this.fromNanos = fromNanos;
        for (LengthClass c : LengthClass.values()) {
            firstToken.put(c, new Samples());
        }
    }

    void completed(Workload.Arrival arrival, long firstAtCaller, long doneNanos, long firstNanos, long cached) {
        if (arrival.nanos() < fromNanos) {
            return;
        }
        double wait = (firstAtCaller - arrival.nanos()) / NANOS_PER_MILLI;
        firstToken.get(LengthClass.of(arrival.promptTokens())).add(wait);
        all.add(wait);
        if (PromptSize.ofPrompt(arrival.promptTokens()) == PromptSize.SHORT) {
            shortLane.add(wait);
        }
        if (arrival.answerTokens() > 1) {
            betweenTokens.add((doneNanos - firstNanos) / NANOS_PER_MILLI / (arrival.answerTokens() - 1));
        }
        promptTokens += arrival.promptTokens();
        cachedTokens += cached;
    }

    void refused() {
        refused++;
    }

    void sampled(long nanos, int[] requests) {
        double mean = Arrays.stream(requests).average().orElse(0);
        if (nanos >= fromNanos && mean > 0) {
            imbalance.add(Arrays.stream(requests).max().orElse(0) / mean);
        }
    }

    /** Returns milliseconds to the first token in a class, at a quantile. */
    public double firstTokenMillis(LengthClass length, double quantile) {
        return firstToken.get(length).quantile(quantile);
    }

    /** Returns milliseconds to the first token of all requests, at a quantile. */
    public double firstTokenMillis(double quantile) {
        return all.quantile(quantile);
    }

    /** Returns milliseconds to the first token in the short lane, at a quantile. */
    public double shortFirstTokenMillis(double quantile) {
        return shortLane.quantile(quantile);
    }

    /** Returns the part of requests whose first token came within 1.2 s. */
    public double withinTarget() {
        return all.part(v -> v <= TARGET_MILLIS);
    }

    /** Returns the mean milliseconds between two tokens of a request, at a quantile of the requests. */
    public double betweenTokensMillis(double quantile) {
        return betweenTokens.quantile(quantile);
    }

    /** Returns the part of prompt tokens that came from a cache. */
    public double cachedPart() {
        return promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens;
    }

    /** Returns the requests at the fullest engine divided by the mean, averaged over time. */
    public double imbalance() {
        return imbalance.mean();
    }

    /** Returns the number of measured requests in a class. */
    public int count(LengthClass length) {
        return firstToken.get(length).count;
    }

    /** Returns the requests that fitted no engine. */
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

        double part(Predicate<Double> condition) {
            return Arrays.stream(values, 0, count).filter(condition::test).count() / (double) Math.max(1, count);
        }

        double mean() {
            return Arrays.stream(values, 0, count).average().orElse(0);
        }
    }
}
