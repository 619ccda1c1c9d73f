package org.jujuberouter.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;

/** A store for tests of what instances read and watch: registrations have no effect, and nothing else may be written. */
public interface WatchOnlyStore extends ControlStore {
    @Override
    default void register(
            InstanceId instance,
            FailureDomain domain,
            InetSocketAddress peerAddress,
            long leaseMs,
            Consumer<String> listener) {}

    @Override
    default void renew(Consumer<LeaseReply> listener) {}

    @Override
    default void writeCrash(
            EndpointId endpoint, InstanceId reporter, List<List<RequestTrait>> suspects, Consumer<String> listener) {
        throw new UnsupportedOperationException("no crash is written here");
    }

    @Override
    default void writeQuarantine(RequestTrait trait, long remainingMs, Consumer<String> listener) {
        throw new UnsupportedOperationException("no quarantine is written here");
    }

    @Override
    default void deregister(Runnable done) {}
}
