package org.jujuberouter.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Finds out whether a process listens on an address, by opening a connection and closing it. */
public final class ListenerProbe {
    private ListenerProbe() {}

    /** What became of the connection. */
    public enum Result {
        /** A process accepts connections. */
        LISTENING,
        /** The host is up and no process listens, so the process that did has ended. */
        REFUSED,
        /** Nothing is known: there was no reply in time, or there is no path. */
        UNKNOWN
    }

    /** Probes the address; the listener runs on the loop. */
    public static void probe(EventLoop loop, InetSocketAddress address, int timeoutMs, Consumer<Result> listener) {
        ChannelFuture connecting = ChannelConnector.connect(loop, address, timeoutMs, _ -> {});
        connecting.addListener((ChannelFutureListener) f -> {
            f.channel().close();
            listener.accept(result(f));
        });
    }

    private static Result result(ChannelFuture connected) {
        if (connected.isSuccess()) {
            return Result.LISTENING;
        }
        return connected.cause() instanceof ConnectException && !(connected.cause() instanceof ConnectTimeoutException)
                ? Result.REFUSED
                : Result.UNKNOWN;
    }
}
