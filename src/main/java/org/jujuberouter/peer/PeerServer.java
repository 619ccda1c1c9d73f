package org.jujuberouter.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * Accepts connections and handles each on its own virtual thread.
 *
 * <p>The number of connections is limited; a connection above the limit is closed at once, so that a flood of
 * connections costs no more memory and threads than the limit allows.
 */
final class PeerServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerServer.class.getName());

    /** Two connections to each of the 410 instances of the design size, with headroom for instances being replaced. */
    static final int MAX_CONNECTIONS = 1024;

    private static final int BACKLOG = 128;
    private static final long ACCEPT_RETRY_DELAY_MILLIS = 100;

    private final ServerSocket socket;
    private final Consumer<Socket> handler;
    private final Semaphore availableConnections = new Semaphore(MAX_CONNECTIONS);

    private PeerServer(ServerSocket socket, Consumer<Socket> handler) {
        this.socket = socket;
        this.handler = handler;
    }

    static PeerServer start(InetSocketAddress address, Consumer<Socket> handler) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(true);
            socket.bind(address, BACKLOG);
        } catch (IOException e) {
            socket.close();
            throw new IOException("cannot listen for peers on " + address + ": " + e.getMessage(), e);
        }
        PeerServer server = new PeerServer(socket, handler);
        Thread.ofVirtual().name("peer-accept").start(server::acceptUntilClosed);
        return server;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private void acceptUntilClosed() {
        while (!socket.isClosed()) {
            try {
                handle(socket.accept());
            } catch (IOException e) {
                if (socket.isClosed()) {
                    return;
                }
                LOG.log(System.Logger.Level.WARNING, "[peer] Accept failed: {0}", e.getMessage());
                sleepBeforeRetry();
            }
        }
    }

    private void handle(Socket accepted) throws IOException {
        if (!availableConnections.tryAcquire()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "[peer] Rejected a connection: limit of {0} connections reached",
                    MAX_CONNECTIONS);
            accepted.close();
            return;
        }
        Thread.ofVirtual()
                .name("peer-read-" + accepted.getRemoteSocketAddress())
                .start(() -> {
                    try {
                        handler.accept(accepted);
                    } finally {
                        availableConnections.release();
                    }
                });
    }

    /** Delays the next accept, for example until file descriptors are available again. */
    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(ACCEPT_RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
