package lab;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes bytes between one machine and a server; open connections can go silent for good, while new ones work. */
final class Proxy implements AutoCloseable {
    private final class Link {
        private volatile boolean silent;
    }

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    Proxy(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 200, Site.LOOPBACK);
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(Site.LOOPBACK, listener.getLocalPort());
    }

    /** Drops all further bytes of the connections that are open now, in both directions. */
    int silenceOpenConnections() {
        links.forEach(l -> l.silent = true);
        return links.size();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                Socket to = new Socket();
                to.connect(target, 1_000);
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                Link link = new Link();
                links.add(link);
                Thread.ofVirtual().start(() -> pass(link, from, to));
                Thread.ofVirtual().start(() -> pass(link, to, from));
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void pass(Link link, Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            byte[] buffer = new byte[16_384];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!link.silent) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            }
        } catch (IOException e) {
            // Either side closed its connection.
        }
        links.remove(link);
        if (!link.silent) {
            close(to);
        }
        close(from);
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
