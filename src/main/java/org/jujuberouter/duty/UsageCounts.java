package org.jujuberouter.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;

/** The counts of executed requests per window, source and customer, kept until their windows are committed. */
final class UsageCounts {
    private final TreeMap<Long, Map<Incarnation, Map<CustomerId, Long>>> windows = new TreeMap<>();

    private UsageCounts() {}

    static UsageCounts empty() {
        return new UsageCounts();
    }

    /** Counts one request of a customer. */
    void count(Incarnation source, long window, CustomerId customer) {
        sourceCounts(window, source).merge(customer, 1L, Long::sum);
    }

    /** Adds reported counts. They are cumulative, so of two messages the larger number is the later one. */
    void merge(WindowCounts reported) {
        Map<CustomerId, Long> counts = sourceCounts(reported.window(), reported.source());
        reported.counts().forEach((customer, n) -> counts.merge(customer, n, Math::max));
    }

    private Map<CustomerId, Long> sourceCounts(long window, Incarnation source) {
        return windows.computeIfAbsent(window, _ -> new HashMap<>()).computeIfAbsent(source, _ -> new HashMap<>());
    }

    /** Returns the sum of all sources for one window. */
    Map<CustomerId, Long> total(long window) {
        Map<CustomerId, Long> total = new TreeMap<>();
        windows.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((customer, n) -> total.merge(customer, n, Long::sum)));
        return total;
    }

    /** Returns the first window with counts after the given one, or {@link Long#MAX_VALUE} if there is none. */
    long firstAfter(long window) {
        Long first = windows.higherKey(window);
        return first == null ? Long.MAX_VALUE : first;
    }

    /** Removes the windows up to the given one. */
    void removeThrough(long window) {
        windows.headMap(window, true).clear();
    }

    /** Returns the counts of all windows from the sources that fulfil the condition. */
    List<WindowCounts> from(Predicate<Incarnation> condition) {
        List<WindowCounts> found = new ArrayList<>();
        windows.forEach((window, sources) -> sources.forEach((source, counts) -> {
            if (condition.test(source)) {
                found.add(new WindowCounts(source, window, counts));
            }
        }));
        return found;
    }
}
