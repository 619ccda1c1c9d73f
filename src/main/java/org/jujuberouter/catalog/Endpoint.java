package org.jujuberouter.catalog;

import java.net.InetSocketAddress;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * One run of an endpoint as it registered itself.
 *
 * @param id the endpoint
 * @param service the service that it belongs to
 * @param address where it listens
 * @param domain its failure domain
 * @param slots calls that it serves at the same time
 * @param draining whether it is leaving
 * @param coldMs how long it stays cold from the registration on, in milliseconds
 * @param startedAtMs start of this run, in milliseconds since the epoch; 0 where it is not told
 */
public record Endpoint(
        EndpointId id,
        ServiceName service,
        InetSocketAddress address,
        FailureDomain domain,
        int slots,
        boolean draining,
        long coldMs,
        long startedAtMs) {
    /** Tells whether the other one is the same run of the same endpoint. */
    public boolean isSameRun(Endpoint other) {
        return id.equals(other.id) && address.equals(other.address) && startedAtMs == other.startedAtMs;
    }
}
