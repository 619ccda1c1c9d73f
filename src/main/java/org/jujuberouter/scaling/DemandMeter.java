package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.CallRequirements;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * Sums up the demand that one instance sees, for its reports to the leader.
 *
 * <p>A call counts once, when it arrives, whether it is served or not. Services that are not scaled are not counted.
 */
public final class DemandMeter {
    private final FailureDomain domain;
    private final Map<ServiceName, Totals> totals = new HashMap<>();

    private static final class Totals {
        private double prefillMs;
        private double slotMs;
        private int waiting;
        private long refused;
    }

    private DemandMeter(FailureDomain domain) {
        this.domain = domain;
    }

    /** Returns a meter for an instance in the given failure domain. */
    public static DemandMeter of(FailureDomain domain) {
        return new DemandMeter(domain);
    }

    /** Adds a call that arrived. */
    public void arrived(CallRequirements call, ServiceSpec service) {
        if (service.scaling().isEmpty() || service.engine().isEmpty()) {
            return;
        }
        Totals sums = totals.computeIfAbsent(service.name(), _ -> new Totals());
        sums.prefillMs += service.engine().get().prefillMs(call.promptTokens());
        sums.slotMs += call.expectedMs(service);
    }

    /** Records that a call of the service waits for an endpoint. */
    public void waitStarted(ServiceName service) {
        Totals sums = totals.get(service);
        if (sums != null) {
            sums.waiting++;
        }
    }

    /** Records that a waiting call was sent, was refused or has left. */
    public void waitEnded(ServiceName service) {
        Totals sums = totals.get(service);
        // Calls that waited when the service was first scaled were not counted.
        if (sums != null && sums.waiting > 0) {
            sums.waiting--;
        }
    }

    /** Records that a call was refused because no engine had capacity for it in time. */
    public void refused(ServiceName service) {
        Totals sums = totals.get(service);
        if (sums != null) {
            sums.refused++;
        }
    }

    /** Returns the demand since the start, for each service that had calls. */
    public List<ServiceDemand> report() {
        List<ServiceDemand> demands = new ArrayList<>(totals.size());
        totals.forEach((service, sums) -> demands.add(
                new ServiceDemand(service, domain, sums.prefillMs, sums.slotMs, sums.waiting, sums.refused)));
        return demands;
    }
}
