package org.jujuberouter.scaling;

import java.util.ArrayDeque;
import java.util.Deque;

/** The recent values of a quantity, for its maximum over windows of different lengths. */
final class LoadHistory {
    private final long keptMs;
    private final Deque<Value> values = new ArrayDeque<>();

    private record Value(long atMs, double value) {}

    private LoadHistory(long keptMs) {
        this.keptMs = keptMs;
    }

    /** Returns a history that keeps values for the given time. */
    static LoadHistory of(long keptMs) {
        return new LoadHistory(keptMs);
    }

    void add(double value, long nowMs) {
        // A value that is not larger than a later one is never the maximum of a window that ends now.
        while (!values.isEmpty() && values.peekLast().value <= value) {
            values.removeLast();
        }
        values.addLast(new Value(nowMs, value));
        while (nowMs - values.peekFirst().atMs > keptMs) {
            values.removeFirst();
        }
    }

    /** Returns the maximum within the given time before now. */
    double max(long windowMs, long nowMs) {
        for (Value v : values) {
            if (nowMs - v.atMs <= windowMs) {
                return v.value;
            }
        }
        return 0;
    }
}
