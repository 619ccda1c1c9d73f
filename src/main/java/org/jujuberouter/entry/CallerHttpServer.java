package org.jujuberouter.entry;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;

/**
 * The HTTP server for callers. Each exchange is handled on its own virtual thread.
 *
 * <p>An exception of a handler is turned into an error response with an outcome; it does not end the process.
 */
final class CallerHttpServer implements AutoCloseable {
    private static final Logger LOG = System.getLogger(CallerHttpServer.class.getName());
    private static final int BACKLOG = 1024;

    private final HttpServer server;
    private final ExecutorService threads;
    private final AtomicInteger inFlight = new AtomicInteger();

    private CallerHttpServer(HttpServer server, ExecutorService threads) {
        this.server = server;
        this.threads = threads;
    }

    /** Handles one exchange with a caller. */
    @FunctionalInterface
    interface Handler {
        void handle(CallerExchange exchange) throws JujuberouterException, IOException;
    }

    /** Binds the server to an address; port 0 selects a free port. */
    static CallerHttpServer bind(InetSocketAddress address) throws IOException {
        // The JDK's HTTP server reads these properties once, when its classes are loaded. Without nodelay, Nagle's
        // algorithm holds small events back for up to 40 ms, until the previous segment is acknowledged.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4096");
        HttpServer server = HttpServer.create(address, BACKLOG);
        ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
        server.setExecutor(threads);
        return new CallerHttpServer(server, threads);
    }

    void route(String path, Handler handler) {
        server.createContext(path, http -> serve(http, handler));
    }

    void start() {
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Returns the number of open exchanges. */
    int inFlight() {
        return inFlight.get();
    }

    private void serve(HttpExchange http, Handler handler) {
        inFlight.incrementAndGet();
        try (CallerExchange exchange = CallerExchange.of(http)) {
            try {
                handler.handle(exchange);
            } catch (JujuberouterException e) {
                exchange.sendError(e);
            } catch (RuntimeException e) {
                LOG.log(Level.ERROR, "[http] Handler for " + exchange.path() + " failed", e);
                exchange.sendError(JujuberouterException.mayHaveRun(ErrorKind.INTERNAL, e, e.toString()));
            }
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "[http] Caller disconnected: {0}", e.getMessage());
        } finally {
            inFlight.decrementAndGet();
        }
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
