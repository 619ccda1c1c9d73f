package org.jujuberouter.duty;

import java.util.List;

/**
 * What an instance reports to the leader.
 *
 * @param wallMs wall-clock time of the instance, in milliseconds since 1970
 * @param uptimeMs time since the instance started, by its monotonic clock
 * @param countedUntilMs true time, as the instance believes it, up to which the counts are complete
 * @param counts the counts that are not confirmed as committed
 * @param demand the demand per service
 */
public record InstanceReport(
        long wallMs, long uptimeMs, long countedUntilMs, List<WindowCounts> counts, List<ServiceDemand> demand) {
    /** Copies the lists. */
    public InstanceReport {
        counts = List.copyOf(counts);
        demand = List.copyOf(demand);
    }
}
