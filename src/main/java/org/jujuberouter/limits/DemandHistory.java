package org.jujuberouter.limits;

import java.util.ArrayDeque;
import java.util.function.ToDoubleFunction;
import org.jujuberouter.limits.DemandDigest.Entry;

/** The latest demand digests of one instance. */
final class DemandHistory {
    /** Number of digests kept: after two more heartbeats, every instance has received the oldest of them. */
    static final int SIZE = 3;

    private final ArrayDeque<DemandDigest> digests = new ArrayDeque<>();

    void add(DemandDigest digest) {
        digests.addLast(digest);
        if (digests.size() > SIZE) {
            digests.removeFirst();
        }
    }

    boolean isComplete() {
        return digests.size() == SIZE;
    }

    double highest(LimitKey key, ToDoubleFunction<Entry> value) {
        double highest = 0;
        for (DemandDigest digest : digests) {
            highest = Math.max(highest, value.applyAsDouble(digest.entryFor(key)));
        }
        return highest;
    }

    double lowest(LimitKey key, ToDoubleFunction<Entry> value) {
        if (!isComplete()) {
            return 0;
        }
        double lowest = Double.MAX_VALUE;
        for (DemandDigest digest : digests) {
            lowest = Math.min(lowest, value.applyAsDouble(digest.entryFor(key)));
        }
        return lowest;
    }
}
