package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.id.InstanceId;

/** Access to the systems around an instance, other than its peers; one implementation per platform. */
public interface PlatformAdapter {
    /** Returns the codec for calls and responses. */
    CallCodec codec();

    /** Returns a client of the platform's store; its listeners run on the loop. */
    ControlStore store(EventLoop loop, InetSocketAddress address);

    /** Returns a client for the calls of the leader to the platform's API; its listeners run on the loop. */
    DutyCalls dutyCalls(EventLoop loop, InetSocketAddress address, InstanceId instance);

    /** Returns a client for memory reservations at engines; its listeners run on the loop. */
    MemoryReservations reservations(EventLoop loop);

    /** Returns a client that probes endpoints; its listeners run on the loop. */
    EndpointProbe probe(EventLoop loop);
}
