package org.jujuberouter.load;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

/** Arrival process of an open-loop load: start times do not depend on the completion of earlier requests. */
public sealed interface Arrivals {
    /** Returns the start offsets in milliseconds of all requests within the duration, in ascending order. */
    long[] offsets(double seconds, RandomGenerator random);

    /** Poisson arrivals at a constant mean rate. */
    record Poisson(double rate) implements Arrivals {
        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            return poissonOffsets(rate, 0, seconds, random);
        }
    }

    /** Poisson arrivals whose rate changes in steps; the last step lasts until the end of the run. */
    record Steps(List<Step> steps) implements Arrivals {
        /** Makes a defensive copy of the steps. */
        public Steps {
            steps = List.copyOf(steps);
        }

        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            LongStream offsets = LongStream.empty();
            double start = 0;
            for (int i = 0; i < steps.size() && start < seconds; i++) {
                boolean last = i == steps.size() - 1;
                double end =
                        last ? seconds : Math.min(seconds, start + steps.get(i).seconds());
                offsets = LongStream.concat(
                        offsets, LongStream.of(poissonOffsets(steps.get(i).rate(), start, end, random)));
                start = end;
            }
            return offsets.toArray();
        }
    }

    /** A mean rate that applies for a duration. */
    record Step(double seconds, double rate) {}

    /** Poisson arrivals, plus a burst of simultaneous requests at fixed intervals. */
    record Bursts(double rate, int size, double everySeconds) implements Arrivals {
        @Override
        public long[] offsets(double seconds, RandomGenerator random) {
            LongStream offsets = LongStream.of(poissonOffsets(rate, 0, seconds, random));
            for (double at = everySeconds; at < seconds; at += everySeconds) {
                long millis = (long) (at * 1000);
                offsets = LongStream.concat(
                        offsets, LongStream.generate(() -> millis).limit(size));
            }
            return offsets.sorted().toArray();
        }
    }

    private static long[] poissonOffsets(double rate, double start, double end, RandomGenerator random) {
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
