package org.jujuberouter.catalog;

import java.net.InetSocketAddress;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * The registration of one run of an endpoint process.
 *
 * @param id the id of the endpoint
 * @param service the service that it serves
 * @param address the address on which it listens
 * @param domain its failure domain
 * @param slots maximum number of concurrent calls
 * @param draining whether it is shutting down and takes no new calls
 * @param coldMs duration of its cold start from the registration on, in milliseconds
 * @param startedAtMs start of this run, in milliseconds since the epoch; 0 if unknown
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
    /** Returns whether the registration tells this run from others of the same endpoint. */
    public boolean isStartKnown() {
        return startedAtMs != 0;
    }

    /** Returns whether both registrations belong to the same run of the same endpoint. */
    public boolean isSameRun(Endpoint other) {
        return id.equals(other.id) && address.equals(other.address) && startedAtMs == other.startedAtMs;
    }
}
