package org.jujuberouter.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.gateway.CallCodec;
import org.jujuberouter.gateway.MemoryReservations;
import org.jujuberouter.gateway.PlatformAdapter;

/** The users' platform, as instances see it. */
public final class HttpPlatformAdapter implements PlatformAdapter {
    private HttpPlatformAdapter() {}

    /** Returns the platform. */
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
    public MemoryReservations reservations(EventLoop loop) {
        return HttpMemoryReservations.on(loop);
    }
}
