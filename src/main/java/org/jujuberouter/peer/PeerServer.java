package org.jujuberouter.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;

/**
 * Accepts connections and hands each to its own virtual thread.
 *
 * <p>The number of connections is bounded; one above the bound is closed at once, so a flood of strangers costs neither
 * memory nor threads beyond the bound.
 */
final class PeerServer implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger(PeerServer.class.getName());

    /** Two directions to each of the 410 instances of the design size, and room for replacements. */
    static final int MAX_CONNECTIONS = 1024;

    private static final int BACKLOG = 128;
    private static final long ACCEPT_RETRY_MILLIS = 100;

    private final ServerSocket socket;
    private final Consumer<Socket> handler;
    private final Semaphore free = new Semaphore(MAX_CONNECTIONS);

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
                take(socket.accept());
            } catch (IOException e) {
                if (socket.isClosed()) {
                    return;
                }
                LOG.log(System.Logger.Level.WARNING, "[peer] accept failed: {0}", e.getMessage());
                pause();
            }
        }
    }

    private void take(Socket accepted) throws IOException {
        if (!free.tryAcquire()) {
            LOG.log(System.Logger.Level.WARNING, "[peer] closed a connection above the bound of {0}", MAX_CONNECTIONS);
            accepted.close();
            return;
        }
        Thread.ofVirtual()
                .name("peer-read-" + accepted.getRemoteSocketAddress())
                .start(() -> {
                    try {
                        handler.accept(accepted);
                    } finally {
                        free.release();
                    }
                });
    }

    /** Waits a little, for example for file descriptors to become free again. */
    private static void pause() {
        try {
            Thread.sleep(ACCEPT_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
