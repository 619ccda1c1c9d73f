package org.jujuberouter.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * Start-up options of one instance.
 *
 * @param instance id of the instance
 * @param domain failure domain of the instance
 * @param callers listen address for callers
 * @param readiness listen address for the platform's readiness probes
 * @param peers listen address for other instances
 * @param store address of the platform's key-value store
 * @param metrics listen address for metrics; empty if they are not served
 * @param firstStart whether the whole system starts for the first time, so that no instance has run before
 * @param features features that settings of the process turn on
 * @param bounds limits set for the deployment
 * @param duties calls that only one instance at a time may make; empty if there are none
 */
public record GatewayOptions(
        InstanceId instance,
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress store,
        Optional<InetSocketAddress> metrics,
        boolean firstStart,
        OptionalFeatures features,
        ServingBounds bounds,
        Optional<DutyOptions> duties) {
    /** Returns whether the leader orders engines by the demand that the instances report. */
    boolean ordersEngines() {
        return features.autoscaling()
                && duties.filter(d -> d.settings().autoscale()).isPresent();
    }

    /** Returns a copy of these options that serves metrics at the given port of the callers' address. */
    public GatewayOptions withMetricsPort(int port) {
        InetSocketAddress address = new InetSocketAddress(callers.getAddress(), port);
        return new GatewayOptions(
                instance,
                domain,
                callers,
                readiness,
                peers,
                store,
                Optional.of(address),
                firstStart,
                features,
                bounds,
                duties);
    }

    /** Returns a copy of these options with the given features. */
    public GatewayOptions withFeatures(OptionalFeatures newFeatures) {
        return new GatewayOptions(
                instance, domain, callers, readiness, peers, store, metrics, firstStart, newFeatures, bounds, duties);
    }
}
