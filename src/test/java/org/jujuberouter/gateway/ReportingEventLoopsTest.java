package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.FatalErrorReporter;
import org.jujuberouter.misc.FatalErrors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against errors of the virtual machine that Netty catches, so that the process stays alive without serving. */
class ReportingEventLoopsTest {
    private final BlockingQueue<Throwable> reports = new LinkedBlockingQueue<>();
    private final ReportingEventLoops group = ReportingEventLoops.single();
    private final EventLoop loop = group.next();

    @BeforeEach
    void listen() {
        FatalErrors.setListener(reports::add);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        FatalErrors.setListener(_ -> {});
    }

    private static void fail() {
        throw new InternalError("test");
    }

    private Throwable nextReport() throws InterruptedException {
        return reports.poll(5, TimeUnit.SECONDS);
    }

    @Test
    void reportsFatalErrorsOfScheduledTasks() throws Exception {
        loop.schedule(ReportingEventLoopsTest::fail, 1, TimeUnit.MILLISECONDS);
        assertInstanceOf(InternalError.class, nextReport());
        Callable<Void> callable = () -> {
            throw new StackOverflowError("test");
        };
        loop.schedule(callable, 1, TimeUnit.MILLISECONDS);
        assertInstanceOf(StackOverflowError.class, nextReport());
        loop.scheduleAtFixedRate(ReportingEventLoopsTest::fail, 1, 1, TimeUnit.MILLISECONDS);
        assertInstanceOf(InternalError.class, nextReport());
        loop.scheduleWithFixedDelay(ReportingEventLoopsTest::fail, 1, 1, TimeUnit.MILLISECONDS);
        assertInstanceOf(InternalError.class, nextReport());
    }

    @Test
    void doesNotReportOtherFailures() throws Exception {
        loop.schedule(
                        () -> {
                            throw new IllegalStateException("test");
                        },
                        1,
                        TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
        assertNull(reports.poll());
    }

    @Test
    void reportsTheEndOfTheEventLoopUnlessItIsClosed() throws Exception {
        loop.execute(() -> {});
        // Ends the thread of the loop without the group, as an error outside of a handler does.
        loop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        assertEquals("the event loop has ended", nextReport().getMessage());
        ReportingEventLoops closed = ReportingEventLoops.single();
        closed.next().execute(() -> {});
        closed.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        assertNull(reports.poll(200, TimeUnit.MILLISECONDS));
    }

    /** Netty turns an error of an encoder into the failure of a write, whose result is often not read. */
    @Test
    void reportsFatalErrorsOfTheHandlersOfAConnection() {
        ChannelOutboundHandlerAdapter encoder = new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                throw new OutOfMemoryError("test");
            }

            @Override
            @SuppressWarnings("deprecation")
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.fireExceptionCaught(cause);
            }
        };
        ChannelInboundHandlerAdapter last = new ChannelInboundHandlerAdapter() {
            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        };
        EmbeddedChannel channel = new EmbeddedChannel(encoder, FatalErrorReporter.instance(), last);
        channel.pipeline().context(last).writeAndFlush(Unpooled.EMPTY_BUFFER);
        assertInstanceOf(OutOfMemoryError.class, reports.poll());
        channel.pipeline().fireExceptionCaught(new IllegalStateException(new InternalError("test")));
        assertInstanceOf(InternalError.class, reports.poll());
        channel.finishAndReleaseAll();
    }
}
