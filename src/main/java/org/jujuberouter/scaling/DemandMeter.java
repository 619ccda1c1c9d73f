package org.jujuberouter.scaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
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

    /** Records that a call was refused because no engine had capacity for it in time. */
    public void refused(ServiceName service) {
        Totals sums = totals.get(service);
        if (sums != null) {
            sums.refused++;
        }
    }

    /**
     * Returns the demand since the start, for each service that had calls.
     *
     * @param waiting returns the number of calls of a service that wait for an endpoint now
     */
    public List<ServiceDemand> report(ToIntFunction<ServiceName> waiting) {
        List<ServiceDemand> demands = new ArrayList<>(totals.size());
        totals.forEach((service, sums) -> demands.add(new ServiceDemand(
                service, domain, sums.prefillMs, sums.slotMs, waiting.applyAsInt(service), sums.refused)));
        return demands;
    }
}
