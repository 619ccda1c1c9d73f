package org.jujuberouter.misc;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** The median of the last few samples of a quantity; fewer than half of them can't change it by any amount. */
public final class RecentMedian {
    private final Ticker ticker;
    private final long maxAgeNanos;
    private final double[] values;
    private final long[] addedAt;
    private long added;

    private RecentMedian(Ticker ticker, int size, long maxAgeMs) {
        this.ticker = ticker;
        this.maxAgeNanos = TimeUnit.MILLISECONDS.toNanos(maxAgeMs);
        this.values = new double[size];
        this.addedAt = new long[size];
    }

    /**
     * Returns a median without samples.
     *
     * @param size number of samples that count; it is odd
     * @param maxAgeMs age up to which a sample counts
     */
    public static RecentMedian of(Ticker ticker, int size, long maxAgeMs) {
        if (size % 2 == 0) {
            throw new IllegalArgumentException("size must be odd: " + size);
        }
        return new RecentMedian(ticker, size, maxAgeMs);
    }

    /** Adds a sample. */
    public void add(double value) {
        int index = (int) (added++ % values.length);
        values[index] = value;
        addedAt[index] = ticker.nanos();
    }

    /** Returns the median, the lower one of two; 0 while there are fewer than half of the samples. */
    public double get() {
        return median(new double[values.length], 0);
    }

    /** Returns what the median would be after another sample. */
    public double getWith(double value) {
        double[] recent = new double[values.length];
        recent[0] = value;
        return median(recent, 1);
    }

    /** Returns the median of the given first elements and the latest samples, which are added behind them. */
    private double median(double[] recent, int given) {
        long now = ticker.nanos();
        int count = given;
        for (long i = Math.max(0, added - values.length + given); i < added; i++) {
            int index = (int) (i % values.length);
            if (now - addedAt[index] <= maxAgeNanos) {
                recent[count++] = values[index];
            }
        }
        if (count <= values.length / 2) {
            return 0;
        }
        Arrays.sort(recent, 0, count);
        return recent[(count - 1) / 2];
    }
}
