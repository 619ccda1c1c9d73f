package org.jujuberouter.duty;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;

/**
 * The instances that report to the leader, and the true time: the median of their wall clocks. All times are readings
 * of the leader's monotonic clock in milliseconds unless stated otherwise.
 */
final class ReporterTable {
    private final Map<Incarnation, Reporter> reporters = new HashMap<>();
    private long firstStartMs = Long.MAX_VALUE;

    private ReporterTable() {}

    static ReporterTable empty() {
        return new ReporterTable();
    }

    void reported(Incarnation source, InstanceReport report, long nowMs) {
        Reporter reporter = reporters.computeIfAbsent(source, _ -> new Reporter());
        reporter.reported(report, nowMs);
        firstStartMs = Math.min(firstStartMs, reporter.startedMs());
    }

    void removed(Incarnation source) {
        reporters.remove(source);
    }

    /** Returns the start of the first instance that has reported. */
    long firstStartMs() {
        return firstStartMs;
    }

    /** Returns whether any instance has reported lately, so that the true time is known. */
    boolean knowsTime(long nowMs) {
        for (Reporter r : reporters.values()) {
            if (r.isRecent(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the true time in milliseconds since 1970. */
    long trueMs(long nowMs) {
        return nowMs + medianOffset(nowMs);
    }

    /** Returns the difference to add to the wall clock of an instance to get the true time. */
    long correctionMs(Incarnation source, long nowMs) {
        return medianOffset(nowMs) - reporters.get(source).offsetMs();
    }

    private long medianOffset(long nowMs) {
        long[] offsets = offsets(nowMs);
        int middle = offsets.length / 2;
        return offsets.length % 2 == 1 ? offsets[middle] : Math.floorDiv(offsets[middle - 1] + offsets[middle], 2L);
    }

    private long[] offsets(long nowMs) {
        long[] offsets = new long[reporters.size()];
        int count = 0;
        for (Reporter r : reporters.values()) {
            if (r.isRecent(nowMs)) {
                offsets[count++] = r.offsetMs();
            }
        }
        long[] sorted = Arrays.copyOf(offsets, count);
        Arrays.sort(sorted);
        return sorted;
    }

    /** Returns whether the counts of all listed and all connected instances are complete up to the given true time. */
    boolean covers(Collection<InstanceId> listed, long untilMs) {
        Map<InstanceId, Long> countedUntil = new HashMap<>();
        for (Map.Entry<Incarnation, Reporter> e : reporters.entrySet()) {
            countedUntil.merge(e.getKey().instance(), e.getValue().countedUntilMs(), Math::max);
        }
        for (InstanceId instance : listed) {
            if (countedUntil.getOrDefault(instance, Long.MIN_VALUE) < untilMs) {
                return false;
            }
        }
        return countedUntil.values().stream().allMatch(until -> until >= untilMs);
    }

    /** Returns the latest demand of each instance that has reported lately. */
    List<InstanceDemand> demands(long nowMs) {
        List<InstanceDemand> demands = new ArrayList<>();
        reporters.forEach((source, r) -> {
            if (r.isRecent(nowMs)) {
                demands.add(new InstanceDemand(source, nowMs - r.receivedMs(), r.demand()));
            }
        });
        return demands;
    }
}
