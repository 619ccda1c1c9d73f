package org.jujuberouter.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.control.LeaseReply;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.dispatch.StopSchedule;
import org.jujuberouter.misc.FatalErrorReporter;
import org.jujuberouter.misc.HeapReceiveBuffers;
import org.jujuberouter.telemetry.LogRateLimiter;

/** Starts and gracefully stops one instance on the users' platform. */
public final class GatewayDaemon implements AutoCloseable {
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MAX_STATUS_REQUEST_BYTES = 16_384;
    private static final long LEASE_MS = 6_000;
    private static final long RENEW_INTERVAL_MS = 2_000;
    private static final long REGISTER_RETRY_MS = 500;

    private static final long DRAIN_CHECK_MS = 50;

    /** Limit for closing each listener and for the shutdown of the event loop. */
    private static final long CLOSE_TIMEOUT_MS = 100;

    /** Longest wait for the store to delete the registration; otherwise it expires with its lease. */
    private static final long DEREGISTER_TIMEOUT_MS = 150;

    private final GatewayOptions options;
    private final ReportingEventLoops group;
    private final EventLoop loop;
    private final Gateway gateway;
    private final ControlStore store;
    private StoreWatcher watcher;
    private PeerLoadSync peerLoad;
    private final List<Channel> listeners = new ArrayList<>();
    private boolean deregistering;
    private boolean deregistered;

    private GatewayDaemon(GatewayOptions options, PlatformAdapter platform) {
        this.options = options;
        this.group = ReportingEventLoops.single();
        this.loop = group.next();
        this.gateway = new Gateway(options, loop, platform.codec(), platform.reservations(loop), platform.probe(loop));
        this.store = platform.store(loop, options.store());
    }

    /**
     * Makes Netty log through the JDK. Otherwise the first use of one of its classes searches the class path for other
     * logging libraries, which takes time at the start.
     */
    public static void useJdkLogging() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    /** Starts an instance. */
    public static GatewayDaemon start(GatewayOptions options, PlatformAdapter platform) throws IOException {
        return start(options, platform, BodyBudget.ofHeap());
    }

    /** Starts an instance with a budget for the bodies of its requests. */
    static GatewayDaemon start(GatewayOptions options, PlatformAdapter platform, BodyBudget bodies) throws IOException {
        useJdkLogging();
        GatewayDaemon daemon = new GatewayDaemon(options, platform);
        StoreWatcher watcher = StoreWatcher.of(
                daemon.store,
                daemon.loop,
                daemon.gateway.ticker(),
                daemon.gateway,
                options.bounds().heartbeatMs());
        daemon.watcher = watcher;
        daemon.peerLoad = PeerLoadSync.start(daemon.gateway, watcher, daemon.loop, daemon.gateway.ticker(), options);
        daemon.gateway.setPeerLoad(daemon.peerLoad);
        daemon.gateway.setCrashes(new CrashQuarantine(daemon.gateway, daemon.store, daemon.peerLoad::broadcast));
        options.duties()
                .ifPresent(duties -> daemon.gateway.setDuties(DutySync.start(
                        daemon.gateway,
                        watcher,
                        daemon.peerLoad,
                        daemon.store.duties(),
                        platform.dutyCalls(daemon.loop, duties.address(), options.instance()),
                        options,
                        duties,
                        LEASE_MS)));
        daemon.loop.execute(() -> {
            watcher.start();
            daemon.register();
        });
        daemon.listenForStatus(options.readiness(), () -> StatusHandler.readiness(daemon.gateway));
        if (options.metrics().isPresent()) {
            daemon.listenForStatus(options.metrics().get(), () -> StatusHandler.metrics(daemon.gateway));
        }
        daemon.gateway.metrics().gauge("request_body_bytes", bodies::heldBytes);
        daemon.gateway.metrics().gauge("request_body_bytes_limit", bodies::limitBytes);
        daemon.listen(options.callers(), ch -> {
            RequestHeadLimit.addCodec(
                    ch.pipeline(), () -> daemon.gateway.limits().maxHeaderBytes());
            ch.pipeline().addLast(FatalErrorReporter.instance()).addLast(new CallerConnection(daemon.gateway, bodies));
        });
        return daemon;
    }

    /** Registers gauges for the number of log lines that the rate limiter dropped. */
    public void addLogMetrics(LogRateLimiter rateLimiter) {
        for (LogRateLimiter.Kind kind : LogRateLimiter.Kind.values()) {
            String name = "log_lines_left_out_" + kind.name().toLowerCase(Locale.ROOT);
            gateway.metrics().gauge(name, () -> rateLimiter.droppedCount(kind));
        }
    }

    /** Returns the event loop that serves all connections of the instance. */
    EventLoop loop() {
        return loop;
    }

    /** Runs an action on the duties, on the event loop; does nothing if the platform has none. */
    void withDuties(Consumer<DutySync> action) {
        loop.execute(() -> gateway.duties().ifPresent(action));
    }

    /** Listens for readiness or metrics requests, which the handler receives fully aggregated. */
    private void listenForStatus(InetSocketAddress address, Supplier<ChannelHandler> handler) throws IOException {
        listen(
                address,
                ch -> ch.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_STATUS_REQUEST_BYTES))
                        .addLast(FatalErrorReporter.instance())
                        .addLast(handler.get()));
    }

    private void listen(InetSocketAddress address, Consumer<Channel> pipeline) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, HeapReceiveBuffers.allocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        pipeline.accept(ch);
                    }
                });
        try {
            listeners.add(bootstrap.bind(address).sync().channel());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding " + address, e);
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    private void register() {
        long sentNanos = gateway.ticker().nanos();
        // The registration gets a new lease; a key under the old one is not renewed any more.
        gateway.duties().ifPresent(DutySync::leaseLost);
        store.register(options.instance(), options.domain(), options.peers(), LEASE_MS, reason -> {
            if (reason == null) {
                gateway.duties().ifPresent(d -> d.leaseRenewed(sentNanos));
                loop.schedule(this::renew, RENEW_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                scheduleRegistration();
            }
        });
    }

    /** Registers again as soon as the store serves this instance; attempts before that would be billed as well. */
    private void scheduleRegistration() {
        loop.schedule(
                () -> {
                    if (deregistering) {
                        return;
                    }
                    if (watcher.isConnected()) {
                        register();
                    } else {
                        scheduleRegistration();
                    }
                },
                REGISTER_RETRY_MS,
                TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (deregistering) {
            return;
        }
        long sentNanos = gateway.ticker().nanos();
        store.renew(reply -> {
            if (reply == LeaseReply.RENEWED) {
                gateway.duties().ifPresent(d -> d.leaseRenewed(sentNanos));
            }
            if (reply != LeaseReply.LOST) {
                loop.schedule(this::renew, RENEW_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                register();
            }
        });
    }

    /**
     * Stops gracefully: readiness probes fail first while calls that can end in time are still taken. The instance ends
     * when the platform has taken it out of rotation, all responses are written and all memory that its calls reserved
     * at engines is freed, or shortly before it would be killed; calls that are running then are answered as failed.
     */
    @Override
    public void close() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        loop.execute(() -> {
            gateway.stop();
            gateway.duties().ifPresent(DutySync::stop);
            loop.scheduleAtFixedRate(
                    () -> checkDrained(stopped), DRAIN_CHECK_MS, DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
        });
        try {
            stopped.get(options.bounds().stopMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            gateway.log().fault("the graceful stop did not complete", e);
        }
        peerLoad.close();
        // Otherwise a connection accepted during the shutdown of the event loop would stay open and unserved.
        listeners.forEach(c -> c.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS));
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly(2 * CLOSE_TIMEOUT_MS);
    }

    private void deregister() {
        store.deregister(() -> deregistered = true);
        loop.schedule(() -> deregistered = true, DEREGISTER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void checkDrained(CompletableFuture<Void> stopped) {
        StopSchedule schedule = gateway.stopSchedule();
        if (!schedule.isOutOfRotation()) {
            return;
        }
        gateway.closeIdleConnections();
        boolean ending = gateway.isDrained() || schedule.isOver();
        if (ending && !deregistering) {
            // Not before: peers count the work of this instance for as long as it is registered.
            deregistering = true;
            schedule.close();
            gateway.endCalls();
            listeners.forEach(Channel::close);
            gateway.duties().ifPresentOrElse(d -> d.end(this::deregister), this::deregister);
        } else if (ending && deregistered) {
            stopped.complete(null);
        }
    }
}
