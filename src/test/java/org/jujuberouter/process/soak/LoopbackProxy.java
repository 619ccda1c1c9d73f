package org.jujuberouter.process.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards loopback connections to another port and can delay, stall, silence or reset them. */
final class LoopbackProxy implements AutoCloseable {
    /** How bytes are forwarded until the mode changes; stalled bytes are forwarded then. */
    enum ForwardingMode {
        PASS,
        DELAY,
        STALL_TO_SERVER,
        STALL_TO_CLIENT
    }

    private static final long DELAY_MS = 120;
    private static final long STALL_POLL_MS = 10;

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile ForwardingMode mode = ForwardingMode.PASS;

    private static final class ProxiedConnection {
        private final Socket client;
        private final Socket server = new Socket();
        private volatile boolean silent;

        private ProxiedConnection(Socket client) {
            this.client = client;
        }

        private void close(boolean reset) {
            for (Socket s : new Socket[] {client, server}) {
                try {
                    if (reset) {
                        s.setSoLinger(true, 0);
                    }
                    s.close();
                } catch (IOException e) {
                    // The other direction has closed it already.
                    continue;
                }
            }
        }
    }

    private LoopbackProxy(ServerSocket listener, int targetPort) {
        this.listener = listener;
        this.targetPort = targetPort;
    }

    static LoopbackProxy to(int targetPort) throws IOException {
        LoopbackProxy proxy =
                new LoopbackProxy(new ServerSocket(0, 1_024, InetAddress.getLoopbackAddress()), targetPort);
        Thread.ofVirtual().start(proxy::accept);
        return proxy;
    }

    int port() {
        return listener.getLocalPort();
    }

    void setMode(ForwardingMode newMode) {
        mode = newMode;
    }

    /** Resets all open connections. */
    void reset() {
        connections.forEach(c -> c.close(true));
    }

    /** Stops forwarding on all open connections for good without closing them; new connections are not affected. */
    void silence() {
        connections.forEach(c -> c.silent = true);
    }

    private void accept() {
        try {
            while (true) {
                ProxiedConnection connection = new ProxiedConnection(listener.accept());
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException e) {
            reset();
        }
    }

    private void serve(ProxiedConnection connection) {
        try {
            connection.server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort), 2_000);
            Thread responseThread = Thread.ofVirtual()
                    .start(() ->
                            forward(connection, connection.server, connection.client, ForwardingMode.STALL_TO_CLIENT));
            forward(connection, connection.client, connection.server, ForwardingMode.STALL_TO_SERVER);
            responseThread.join();
        } catch (IOException e) {
            connection.close(true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            connections.remove(connection);
        }
    }

    private void forward(ProxiedConnection connection, Socket from, Socket to, ForwardingMode stallMode) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (mode == ForwardingMode.DELAY) {
                    Thread.sleep(DELAY_MS);
                }
                while (mode == stallMode) {
                    Thread.sleep(STALL_POLL_MS);
                }
                if (!connection.silent) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
            if (!connection.silent) {
                connection.close(false);
            }
        } catch (IOException e) {
            if (!connection.silent) {
                connection.close(true);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(c -> c.close(true));
    }
}
