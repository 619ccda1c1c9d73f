package org.jujuberouter.scaling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * The load of one service, computed from the cumulative demand in the reports of the instances.
 *
 * <p>Load is measured in engines that would be busy throughout: a call occupies an engine for its prefill, and a share of
 * its slots for its whole time. Each instance's rate is measured between its own reports, so reports need not be
 * simultaneous, and a late one does not look like a burst.
 */
final class DemandRates {
    /** Time after which the last rate of a silent instance no longer counts; its callers have moved by then. */
    private static final long MAX_HOLD_MS = 10_000;

    private final Map<InstanceId, Series> byInstance = new HashMap<>();

    private record Sample(long atMs, double workMs) {}

    private static final class Series {
        private final Deque<Sample> samples = new ArrayDeque<>();
        private ServiceDemand last;
        private boolean refusedMore;

        private void add(ServiceDemand demand, long atMs, int slots, long keptMs) {
            double workMs = 0;
            if (last != null) {
                // A counter that has fallen was started anew; all that it shows has arrived since.
                boolean restarted = demand.prefillMs() < last.prefillMs() || demand.slotMs() < last.slotMs();
                double prefillMs = demand.prefillMs() - (restarted ? 0 : last.prefillMs());
                double slotMs = demand.slotMs() - (restarted ? 0 : last.slotMs());
                workMs = samples.peekLast().workMs + prefillMs + slotMs / slots;
                refusedMore = demand.refused() > (restarted ? 0 : last.refused());
            }
            last = demand;
            samples.addLast(new Sample(atMs, workMs));
            while (atMs - samples.peekFirst().atMs > keptMs) {
                samples.removeFirst();
            }
        }

        /** Returns the load over the last given milliseconds before the last report; 0 after a single report. */
        private double load(long windowMs) {
            Sample newest = samples.peekLast();
            Sample oldest = newest;
            Iterator<Sample> earlier = samples.descendingIterator();
            while (earlier.hasNext() && newest.atMs - oldest.atMs < windowMs) {
                oldest = earlier.next();
            }
            return newest.atMs == oldest.atMs ? 0 : (newest.workMs - oldest.workMs) / (newest.atMs - oldest.atMs);
        }
    }

    /** Adds the demand in an instance's report, unless it was added before. */
    void add(InstanceId instance, ServiceDemand demand, long atMs, int slots, long keptMs) {
        Series series = byInstance.computeIfAbsent(instance, _ -> new Series());
        if (series.samples.isEmpty() || atMs > series.samples.peekLast().atMs) {
            series.add(demand, atMs, slots, keptMs);
        }
    }

    /** Forgets the instances that have not reported for so long that their callers have moved. */
    void expire(long nowMs) {
        byInstance.values().removeIf(s -> nowMs - s.samples.peekLast().atMs > MAX_HOLD_MS);
    }

    /** Returns the load of all instances, measured over the given time. */
    double load(long windowMs) {
        double sum = 0;
        for (Series series : byInstance.values()) {
            sum += series.load(windowMs);
        }
        return sum;
    }

    /** Returns the load of the instances in each failure domain, measured over the given time. */
    Map<FailureDomain, Double> loadByDomain(long windowMs) {
        Map<FailureDomain, Double> loads = new HashMap<>();
        byInstance.values().forEach(s -> loads.merge(s.last.domain(), s.load(windowMs), Double::sum));
        return loads;
    }

    /** Returns the number of calls that wait. */
    int waiting() {
        return byInstance.values().stream().mapToInt(s -> s.last.waiting()).sum();
    }

    /** Returns whether calls were refused for lack of capacity between the last two reports of an instance. */
    boolean refusedLately() {
        return byInstance.values().stream().anyMatch(s -> s.refusedMore);
    }
}
