package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;

/** What an instance talks to besides its peers; implemented for each platform. */
public interface OutsideWorld {
    /** Returns how calls and answers are written. */
    CallForm form();

    /** Returns a client of the platform's store whose listeners run on the loop. */
    ControlStore store(EventLoop loop, InetSocketAddress address);

    /** Returns orders to engines whose listeners run on the loop. */
    MemoryOrders orders(EventLoop loop);
}
