package org.jujuberouter.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.peer.PeerTraffic;

/**
 * Resource usage of one combination of instances and endpoints in steady state.
 *
 * @param instances number of running instances
 * @param endpoints number of listed endpoints
 * @param ownedEndpoints endpoints with an owner at the end of the measurement window
 * @param seconds duration of the measurement window
 * @param traffic frames and bytes of all instances by peer message
 * @param cpuSeconds CPU time of the process, excluding the stand-ins that run on platform threads
 * @param heapBytes heap in use after a full garbage collection, of all instances and stand-ins
 * @param memberListBytes bytes of the platform's member list that all instances read
 * @param engineReportBytes bytes of load reports and request lists that all instances read from engines
 * @param storeReads reads of the store, including watches that wait for changes
 * @param storeWrites writes to the store
 * @param waitingWatches watches that wait for changes at the end of the window
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

    /** Returns the traffic of all peer messages together. */
    public PeerTraffic.Count totalTraffic() {
        return traffic.values().stream().reduce(new PeerTraffic.Count(0, 0, 0, 0), PeerTraffic.Count::plus);
    }

    /** Returns the frames that one instance sends per second. */
    public double framesPerSecond() {
        return totalTraffic().framesOut() / seconds / instances;
    }

    /** Returns the bytes that one instance sends per second. */
    public double bytesPerSecond() {
        return totalTraffic().bytesOut() / seconds / instances;
    }

    /** Returns the CPU usage of one instance as a percentage of one core. */
    public double corePercent() {
        return PERCENT * cpuSeconds / seconds / instances;
    }

    /** Returns the heap per instance in megabytes. */
    public double heapMegabytes() {
        return heapBytes / BYTES_PER_MEGABYTE / instances;
    }

    /** Returns the bytes of the member list that one instance reads per second. */
    public double memberListBytesPerSecond() {
        return memberListBytes / seconds / instances;
    }

    /** Returns the bytes of engine reports that one instance reads per second. */
    public double engineReportBytesPerSecond() {
        return engineReportBytes / seconds / instances;
    }

    /** Returns the traffic by peer message, sorted by name, without messages that were neither sent nor received. */
    public Map<String, PeerTraffic.Count> nonZeroTraffic() {
        Map<String, PeerTraffic.Count> counts = new TreeMap<>(traffic);
        counts.values().removeIf(count -> count.framesOut() == 0 && count.framesIn() == 0);
        return counts;
    }
}
