package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import org.jujuberouter.control.ControlStore;

/** What an instance talks to besides its peers; implemented for each platform. */
public interface PlatformAdapter {
    /** Returns how calls and answers are written. */
    CallCodec codec();

    /** Returns a client of the platform's store whose listeners run on the loop. */
    ControlStore store(EventLoop loop, InetSocketAddress address);

    /** Returns reservations to engines whose listeners run on the loop. */
    MemoryReservations reservations(EventLoop loop);
}
