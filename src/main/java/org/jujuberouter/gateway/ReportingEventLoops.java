package org.jujuberouter.gateway;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.FatalErrors;

/**
 * An event loop that reports its unexpected end, and fatal errors of scheduled tasks, which Netty stores in a future that
 * nobody reads. Netty logs those of other tasks and of listeners.
 */
final class ReportingEventLoops extends MultiThreadIoEventLoopGroup {
    /** Created in advance, since there may be no memory for it when it is needed. */
    private static final Throwable ENDED = new IllegalStateException("the event loop has ended");

    private volatile boolean closing;

    private ReportingEventLoops() {
        super(1, NioIoHandler.newFactory());
    }

    /** Returns a group with one event loop. */
    static ReportingEventLoops single() {
        return new ReportingEventLoops();
    }

    @Override
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... arguments) {
        Executor reporting = loop -> executor.execute(() -> {
            try {
                loop.run();
            } finally {
                if (!closing) {
                    FatalErrors.fail(ENDED);
                }
            }
        });
        return new ReportingEventLoop(this, reporting, factory);
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        closing = true;
        return super.shutdownGracefully(quietPeriod, timeout, unit);
    }

    private static final class ReportingEventLoop extends SingleThreadIoEventLoop {
        ReportingEventLoop(IoEventLoopGroup parent, Executor executor, IoHandlerFactory factory) {
            super(parent, executor, factory);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(() -> FatalErrors.run(task), delay, unit);
        }

        @Override
        public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
            return super.schedule(
                    () -> {
                        try {
                            return task.call();
                        } catch (VirtualMachineError e) {
                            FatalErrors.report(e);
                            throw e;
                        }
                    },
                    delay,
                    unit);
        }

        @Override
        public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long delay, long period, TimeUnit unit) {
            return super.scheduleAtFixedRate(() -> FatalErrors.run(task), delay, period, unit);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initial, long delay, TimeUnit unit) {
            return super.scheduleWithFixedDelay(() -> FatalErrors.run(task), initial, delay, unit);
        }
    }
}
