package org.jujuberouter.misc;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;

/**
 * Reports fatal errors of the handlers before it and of the channel: those thrown while a message is read, and those that
 * Netty turns into the failure of a write. Added before the last handler, which reports its own.
 */
@ChannelHandler.Sharable
public final class FatalErrorReporter extends ChannelDuplexHandler {
    private static final FatalErrorReporter INSTANCE = new FatalErrorReporter();

    private static final GenericFutureListener<Future<Object>> REPORT = f -> {
        if (!f.isSuccess()) {
            FatalErrors.report(f.cause());
        }
    };

    private FatalErrorReporter() {}

    /** Returns the handler; it is shared by all channels. */
    public static FatalErrorReporter instance() {
        return INSTANCE;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        ctx.write(message, promise.unvoid()).addListener(REPORT);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.report(cause);
        ctx.fireExceptionCaught(cause);
    }
}
