package org.jujuberouter.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.gateway.CallForm;
import org.jujuberouter.gateway.MemoryOrders;
import org.jujuberouter.gateway.OutsideWorld;

/** The users' platform, as instances see it. */
public final class HttpPlatformAdapter implements OutsideWorld {
    private HttpPlatformAdapter() {}

    /** Returns the platform. */
    public static HttpPlatformAdapter create() {
        return new HttpPlatformAdapter();
    }

    @Override
    public CallForm form() {
        return PlatformCallForm.create();
    }

    @Override
    public ControlStore store(EventLoop loop, InetSocketAddress address) {
        return KvControlStore.at(loop, address);
    }

    @Override
    public MemoryOrders orders(EventLoop loop) {
        return EngineOrders.on(loop);
    }
}
