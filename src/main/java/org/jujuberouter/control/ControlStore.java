package org.jujuberouter.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.StorePosition;

/** The platform's key-value store; all listeners run on the instance's event loop. */
public interface ControlStore {
    /** Reads all entries that instances watch. */
    void read(Consumer<ControlReply> listener);

    /**
     * Waits for changes after a position; an empty list of changes proves that there were none until the wait ended.
     */
    void watch(StorePosition after, long waitMs, Consumer<ControlReply> listener);

    /** Ends the outstanding watch; its listener receives a failure or nothing. */
    void cancelWatch();

    /** Registers this instance under a new lease; the listener receives null or the reason for a failure. */
    void register(
            InstanceId instance,
            FailureDomain domain,
            InetSocketAddress peerAddress,
            long leaseMs,
            Consumer<String> listener);

    /** Renews the lease of the registration. */
    void renew(Consumer<LeaseReply> listener);

    /**
     * Writes a quarantine that expires by itself, unless there is one; the listener receives null or the reason for a
     * failure.
     */
    void writeQuarantine(RequestTrait trait, long remainingMs, Consumer<String> listener);

    /** Writes a crash, with the suspect calls of one instance; the listener receives null or the reason for a failure. */
    void writeCrash(
            EndpointId endpoint, InstanceId reporter, List<List<RequestTrait>> suspects, Consumer<String> listener);

    /** Returns the access to the keys of the duties; their holder is registered under the same lease. */
    default DutyStore duties() {
        throw new UnsupportedOperationException("this store has no duties");
    }

    /** Ends the lease of the registration. */
    void deregister(Runnable done);
}
