package org.jujuberouter.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.peer.PeerTraffic;

/**
 * What one combination of instances and endpoints cost in steady state.
 *
 * @param instances running instances
 * @param endpoints listed endpoints
 * @param owned endpoints with an owner at the end of the window
 * @param seconds length of the window
 * @param traffic frames and bytes of all instances by message
 * @param processorSeconds processor time of the process without the stand-ins on platform threads
 * @param heapBytes heap in use after a full collection, all instances and stand-ins
 * @param listBytes bytes of the platform's list that all instances read
 * @param engineBytes bytes of reports that all instances read from engines
 * @param storeReads reads of the store, waiting watches among them
 * @param storeWrites writes of the store
 * @param waitingWatches watches that wait at the end of the window
 */
public record CapacitySample(
        int instances,
        int endpoints,
        int ownedEndpoints,
        double seconds,
        Map<String, PeerTraffic.Count> traffic,
        double cpuSeconds,
        long heapBytes,
        long memberListBytes,
        long engineReportBytes,
        long storeReads,
        long storeWrites,
        long waitingWatches) {
    private static final double PERCENT = 100;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    /** Returns the sum of the counts of all messages. */
    public PeerTraffic.Count totalTraffic() {
        return traffic.values().stream().reduce(new PeerTraffic.Count(0, 0, 0, 0), PeerTraffic.Count::plus);
    }

    /** Returns frames sent by one instance in a second. */
    public double framesPerSecond() {
        return totalTraffic().framesOut() / seconds / instances;
    }

    /** Returns bytes sent by one instance in a second. */
    public double bytesPerSecond() {
        return totalTraffic().bytesOut() / seconds / instances;
    }

    /** Returns the share of a core that one instance takes, in per cent. */
    public double corePercent() {
        return PERCENT * cpuSeconds / seconds / instances;
    }

    /** Returns the heap divided by the instances, in megabytes. */
    public double heapMegabytes() {
        return heapBytes / BYTES_PER_MEGABYTE / instances;
    }

    /** Returns the bytes of the platform's list that one instance reads in a second. */
    public double memberListBytesPerSecond() {
        return memberListBytes / seconds / instances;
    }

    /** Returns the bytes of reports that one instance reads from engines in a second. */
    public double engineReportBytesPerSecond() {
        return engineReportBytes / seconds / instances;
    }

    /** Returns the counts that are not zero, sorted by name. */
    public Map<String, PeerTraffic.Count> nonZeroTraffic() {
        Map<String, PeerTraffic.Count> counts = new TreeMap<>(traffic);
        counts.values().removeIf(count -> count.framesOut() == 0 && count.framesIn() == 0);
        return counts;
    }
}
