package org.jujuberouter.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.jujuberouter.misc.HeapReceiveBuffers;

/**
 * Accepts connections on an event loop.
 *
 * <p>The number of connections is limited; a connection above the limit is closed at once, so that a flood of
 * connections costs no more memory than the limit allows.
 */
final class PeerServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerServer.class.getName());

    /** Two connections to each of the 410 instances of the design size, with headroom for instances being replaced. */
    static final int MAX_CONNECTIONS = 1024;

    private static final int BACKLOG = 128;

    private final Channel listener;

    private PeerServer(Channel listener) {
        this.listener = listener;
    }

    /** Starts listening; the initializer sets up each accepted channel on the event loop. */
    static PeerServer start(EventLoop loop, InetSocketAddress address, Consumer<Channel> initializer)
            throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, HeapReceiveBuffers.allocator())
                .childHandler(new Acceptor(initializer));
        try {
            return new PeerServer(bootstrap.bind(address).sync().channel());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (RuntimeException e) {
            throw new IOException("cannot listen for peers on " + address + ": " + e.getMessage(), e);
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
    }

    /** Counts the open connections; confined to the event loop. */
    private static final class Acceptor extends ChannelInitializer<Channel> {
        private final Consumer<Channel> initializer;
        private int openConnections;

        private Acceptor(Consumer<Channel> initializer) {
            this.initializer = initializer;
        }

        @Override
        public boolean isSharable() {
            return true;
        }

        @Override
        protected void initChannel(Channel channel) {
            if (openConnections >= MAX_CONNECTIONS) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "[peer] Rejected a connection: limit of {0} connections reached",
                        MAX_CONNECTIONS);
                channel.close();
                return;
            }
            openConnections++;
            channel.closeFuture().addListener(_ -> openConnections--);
            initializer.accept(channel);
        }
    }
}
