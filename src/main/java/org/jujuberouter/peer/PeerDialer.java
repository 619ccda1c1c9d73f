package org.jujuberouter.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jujuberouter.misc.HeapReceiveBuffers;
import org.jujuberouter.misc.Ticker;

/**
 * Keeps a connection to one address: a lost connection is dialled again with jittered exponential backoff until the
 * dialer is closed. Confined to the event loop.
 */
final class PeerDialer {
    private static final System.Logger LOG = System.getLogger(PeerDialer.class.getName());
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final long MIN_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 1000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Ticker ticker;
    private final Function<Channel, PeerConnection> initializer;
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private long startMillis;
    private Channel channel;
    private PeerConnection connection;
    private boolean closed;

    private PeerDialer(
            EventLoop loop, InetSocketAddress address, Ticker ticker, Function<Channel, PeerConnection> initializer) {
        this.loop = loop;
        this.address = address;
        this.ticker = ticker;
        this.initializer = initializer;
    }

    /** Returns a dialer that has started to connect; the initializer sets up each new channel. */
    static PeerDialer start(
            EventLoop loop, InetSocketAddress address, Ticker ticker, Function<Channel, PeerConnection> initializer) {
        PeerDialer dialer = new PeerDialer(loop, address, ticker, initializer);
        dialer.dial();
        return dialer;
    }

    /** Stops dialling and closes the connection. */
    void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
        if (channel != null) {
            channel.close();
        }
    }

    private void dial() {
        if (closed) {
            return;
        }
        startMillis = ticker.millis();
        connection = null;
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, HeapReceiveBuffers.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connection = initializer.apply(ch);
                    }
                })
                .connect(address);
        channel = connecting.channel();
        connecting.addListener((ChannelFutureListener) f -> {
            if (!f.isSuccess()) {
                LOG.log(
                        System.Logger.Level.DEBUG,
                        "[peer] Cannot connect to {0}: {1}",
                        address,
                        f.cause().getMessage());
            }
            f.channel().closeFuture().addListener(_ -> onClosed());
        });
    }

    private void onClosed() {
        if (closed) {
            return;
        }
        if (connection != null && connection.isToSelf()) {
            LOG.log(
                    System.Logger.Level.DEBUG,
                    "[peer] Stopped dialling {0}: it is an address of this instance",
                    address);
            return;
        }
        if (ticker.millis() - startMillis > MAX_BACKOFF_MILLIS) {
            backoffMillis = MIN_BACKOFF_MILLIS;
        }
        long delay = ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        loop.schedule(this::dial, delay, TimeUnit.MILLISECONDS);
    }
}
