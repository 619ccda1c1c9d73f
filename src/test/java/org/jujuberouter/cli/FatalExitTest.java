package org.jujuberouter.cli;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.gateway.GatewayDaemon;
import org.jujuberouter.misc.FatalErrors;
import org.junit.jupiter.api.Test;

/** Guards against errors of the virtual machine in tasks and listeners, which Netty catches and logs. */
class FatalExitTest {
    @Test
    void reportsFatalErrorsThatNettyLogs() throws Exception {
        GatewayDaemon.useJdkLogging();
        FatalExit.reportErrorsLoggedByNetty();
        BlockingQueue<Throwable> reports = new LinkedBlockingQueue<>();
        FatalErrors.setListener(reports::add);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try {
            loop.execute(() -> {
                throw new StackOverflowError("test");
            });
            assertInstanceOf(StackOverflowError.class, reports.poll(5, TimeUnit.SECONDS));
            loop.newSucceededFuture(null).addListener(f -> {
                throw new InternalError("test");
            });
            assertInstanceOf(InternalError.class, reports.poll(5, TimeUnit.SECONDS));
        } finally {
            FatalErrors.setListener(_ -> {});
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }
}
