package org.jujuberouter.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * What one instance needs to know at its start.
 *
 * @param instance its name
 * @param domain its failure domain
 * @param callers where callers connect
 * @param readiness where the platform asks whether it takes new connections
 * @param peers where other instances connect
 * @param store the platform's store
 * @param metrics where metrics are read; empty where they are not served
 * @param bounds the bounds of the deployment
 */
public record GatewayOptions(
        InstanceId instance,
        FailureDomain domain,
        InetSocketAddress callers,
        InetSocketAddress readiness,
        InetSocketAddress peers,
        InetSocketAddress store,
        Optional<InetSocketAddress> metrics,
        ServingBounds bounds) {
    /** Returns these options with metrics at the port of the callers' address. */
    public GatewayOptions withMetricsPort(int port) {
        InetSocketAddress address = new InetSocketAddress(callers.getAddress(), port);
        return new GatewayOptions(instance, domain, callers, readiness, peers, store, Optional.of(address), bounds);
    }
}
