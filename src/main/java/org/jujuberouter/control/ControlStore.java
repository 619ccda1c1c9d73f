package org.jujuberouter.control;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.jujuberouter.id.InstanceId;

/** The platform's store as instances use it; all listeners run on the instance's event loop. */
public interface ControlStore {
    /** Reads everything that instances follow. */
    void read(Consumer<ControlReply> listener);

    /** Waits for changes after a revision; an empty list of changes proves that there were none when the wait ended. */
    void watch(long afterRevision, long waitMs, Consumer<ControlReply> listener);

    /** Announces this instance under a new lease; the listener gets null or the reason of the failure. */
    void register(InstanceId instance, InetSocketAddress peerAddress, long leaseMs, Consumer<String> listener);

    /** Renews the lease of the announcement; the listener gets false when it has to be made anew. */
    void renew(Consumer<Boolean> listener);

    /** Ends the lease of the announcement. */
    void deregister(Runnable done);
}
