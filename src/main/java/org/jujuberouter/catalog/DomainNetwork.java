package org.jujuberouter.catalog;

import java.util.Map;
import org.jujuberouter.id.FailureDomain;

/**
 * The network between the failure domains of a deployment.
 *
 * @param oneWayMs delays of a message from one domain to another, in milliseconds; symmetric
 * @param costPerByte price of a byte that leaves a domain, in units of a short call
 */
public record DomainNetwork(Map<FailureDomain, Map<FailureDomain, Double>> oneWayMs, double costPerByte) {
    /**
     * Default price of a megabyte that leaves a domain, in units of a short call. A request of 30 KB then costs a
     * fortieth of a short call, so that equal loads stay home and no call that would be late does.
     */
    public static final double DEFAULT_COST_PER_MB = 0.75;

    private static final DomainNetwork UNKNOWN = new DomainNetwork(Map.of(), DEFAULT_COST_PER_MB / 1e6);

    /** Returns a network without known delays, with the default price. */
    public static DomainNetwork unknown() {
        return UNKNOWN;
    }

    /** Returns the delay of a request and of its response together, in milliseconds; 0 if it is not known. */
    public double roundTripMs(FailureDomain from, FailureDomain to) {
        Map<FailureDomain, Double> delays = oneWayMs.get(from);
        Double oneWay = delays == null ? null : delays.get(to);
        return oneWay == null ? 0 : 2 * oneWay;
    }
}
