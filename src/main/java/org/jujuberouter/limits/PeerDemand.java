package org.jujuberouter.limits;

import java.util.ArrayDeque;
import java.util.function.ToDoubleFunction;
import org.jujuberouter.limits.DemandDigest.Entry;

/** The last digests of one instance. */
final class PeerDemand {
    /** Two heartbeats pass until the oldest of three digests was surely heard by everyone. */
    static final int HISTORY = 3;

    private final ArrayDeque<DemandDigest> digests = new ArrayDeque<>();

    void add(DemandDigest digest) {
        digests.addLast(digest);
        if (digests.size() > HISTORY) {
            digests.removeFirst();
        }
    }

    boolean isComplete() {
        return digests.size() == HISTORY;
    }

    double highest(LimitKey key, ToDoubleFunction<Entry> value) {
        double highest = 0;
        for (DemandDigest digest : digests) {
            highest = Math.max(highest, value.applyAsDouble(digest.of(key)));
        }
        return highest;
    }

    double lowest(LimitKey key, ToDoubleFunction<Entry> value) {
        if (!isComplete()) {
            return 0;
        }
        double lowest = Double.MAX_VALUE;
        for (DemandDigest digest : digests) {
            lowest = Math.min(lowest, value.applyAsDouble(digest.of(key)));
        }
        return lowest;
    }
}
