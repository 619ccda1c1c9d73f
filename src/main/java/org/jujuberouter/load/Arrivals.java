package org.jujuberouter.load;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

/** When requests start, whatever became of the ones before: the load is open-loop. */
public sealed interface Arrivals {
    /** Returns the offsets in milliseconds of all requests within the duration, in order. */
    long[] offsets(double seconds, RandomGenerator random);

    /** Independent arrivals at a constant mean rate. */
    record Poisson(double rate) implements Arrivals {
        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            return poisson(rate, 0, seconds, random);
        }
    }

    /** Poisson arrivals whose rate changes in steps; the last step lasts to the end. */
    record Steps(List<Step> steps) implements Arrivals {
        /** Copies the steps. */
        public Steps {
            steps = List.copyOf(steps);
        }

        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            LongStream all = LongStream.empty();
            double start = 0;
            for (int i = 0; i < steps.size() && start < seconds; i++) {
                boolean last = i == steps.size() - 1;
                double end =
                        last ? seconds : Math.min(seconds, start + steps.get(i).seconds());
                all = LongStream.concat(all, LongStream.of(poisson(steps.get(i).rate(), start, end, random)));
                start = end;
            }
            return all.toArray();
        }
    }

    /** A rate for some seconds. */
    record Step(double seconds, double rate) {}

    /** Poisson arrivals and, at fixed times, many requests at once. */
    record Bursts(double rate, int size, double everySeconds) implements Arrivals {
        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            LongStream all = LongStream.of(poisson(rate, 0, seconds, random));
            for (double at = everySeconds; at < seconds; at += everySeconds) {
                long millis = (long) (at * 1000);
                all = LongStream.concat(all, LongStream.generate(() -> millis).limit(size));
            }
            return all.sorted().toArray();
        }
    }

    private static long[] poisson(double rate, double start, double end, RandomGenerator random) {
        if (rate <= 0) {
            return new long[0];
        }
        LongStream.Builder offsets = LongStream.builder();
        for (double at = start + random.nextExponential() / rate; at < end; at += random.nextExponential() / rate) {
            offsets.add((long) (at * 1000));
        }
        return offsets.build().toArray();
    }
}
