package org.jujuberouter.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.jujuberouter.misc.HeapReceiveBuffers;

/** Opens TCP connections with common options. */
final class ChannelConnector {
    private ChannelConnector() {}

    /** Opens a connection whose channel is set up by the given initializer. */
    static ChannelFuture connect(
            EventLoop loop, InetSocketAddress address, int timeoutMs, Consumer<Channel> initializer) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, HeapReceiveBuffers.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        initializer.accept(ch);
                    }
                })
                .connect(address);
    }
}
