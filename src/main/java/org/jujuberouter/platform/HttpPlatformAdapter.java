package org.jujuberouter.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.gateway.CallCodec;
import org.jujuberouter.gateway.DutyCalls;
import org.jujuberouter.gateway.EndpointProbe;
import org.jujuberouter.gateway.MemoryReservations;
import org.jujuberouter.gateway.PlatformAdapter;
import org.jujuberouter.id.InstanceId;

/** Adapter to the users' platform: its call headers, its key-value store and its engines' HTTP interface. */
public final class HttpPlatformAdapter implements PlatformAdapter {
    private HttpPlatformAdapter() {}

    /** Returns a new adapter. */
    public static HttpPlatformAdapter create() {
        return new HttpPlatformAdapter();
    }

    @Override
    public CallCodec codec() {
        return PlatformCallCodec.create();
    }

    @Override
    public ControlStore store(EventLoop loop, InetSocketAddress address) {
        return KvControlStore.at(loop, address);
    }

    @Override
    public DutyCalls dutyCalls(EventLoop loop, InetSocketAddress address, InstanceId instance) {
        return HttpDutyCalls.at(loop, address, instance);
    }

    @Override
    public MemoryReservations reservations(EventLoop loop) {
        return HttpMemoryReservations.on(loop);
    }

    @Override
    public EndpointProbe probe(EventLoop loop) {
        return EndpointCalls.on(loop);
    }
}
