package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.platform.standin.KvStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a view of the store that counts as confirmed by an answer that was cut short. */
class KvControlStoreTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();

    @AfterEach
    void stopLoop() {
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** A success without a body passed for one without changes, and confirmed revoked API keys. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\n\r\n{\"events\":[],"
            })
    void takesNoSuccessWithoutARevisionForAConfirmation(String response) throws Exception {
        assertInstanceOf(ControlReply.Failed.class, reply(response, (store, l) -> store.watch(7, 100, l)));
        assertInstanceOf(ControlReply.Failed.class, reply(response, ControlStore::read));
    }

    private ControlReply.Success read(KvStandin site) throws Exception {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        loop.execute(() -> KvControlStore.at(loop, site.address()).read(reply::complete));
        return assertInstanceOf(ControlReply.Success.class, reply.get(5, TimeUnit.SECONDS));
    }

    private static void assertKeys(List<String> keys, ControlReply.Success read) {
        assertEquals(keys, read.events().stream().map(ControlEvent::key).toList());
    }

    /** Three pages cost three calls at each start of an instance. */
    @Test
    void readsThreePagesAtTheCostOfLittleMoreThanOneCall() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            site.setPageSize(2);
            List.of("a", "b", "c", "d", "e").forEach(k -> site.put(k, "{}"));
            assertKeys(List.of("a", "b", "c", "d", "e"), read(site));
            assertEquals(13, site.billedTenths());
        }
    }

    /** A stale page must not hide a change, such as a revoked API key or an endpoint that has left. */
    @Test
    void addsAllChangesSinceTheOldestPageToAStaleRead() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            List.of("a", "b").forEach(k -> site.put(k, "{}"));
            site.keepStale();
            site.put("a", "{}");
            site.remove("b");
            site.put("c", "{}");
            site.put("d", "{}");
            site.remove("d");
            ControlReply.Success read = read(site);
            assertKeys(List.of("a", "c"), read);
            assertEquals(8, read.revision());
            assertEquals(4, read.events().getFirst().revision());
        }
    }

    /** The changes since a stale page may be compacted. */
    @Test
    void readsTheStateItselfWhenTheChangesSinceAStaleReadAreGone() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            site.put("a", "{}");
            site.keepStale();
            site.remove("a");
            site.put("b", "{}");
            site.forgetHistory();
            assertKeys(List.of("b"), read(site));
        }
    }

    /** An instance that was cut off while large configurations followed each other refused all calls afterwards. */
    @Test
    void readsTheStateWhenTheChangesAreMoreThanItReads() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            site.put("a", "{}");
            site.keepStale();
            String large = "x".repeat(1_000_000);
            for (int i = 0; i < 10; i++) {
                site.put("b", large);
            }
            KvControlStore store = KvControlStore.at(loop, site.address());
            assertInstanceOf(ControlReply.Compacted.class, call(l -> store.watch(1, 100, l)));
            ControlReply.Success read = assertInstanceOf(ControlReply.Success.class, call(store::read));
            assertKeys(List.of("a", "b"), read);
            assertEquals(read.events().getLast().revision(), read.revision());
            assertKeys(List.of("a", "b"), read(site));
        }
    }

    private ControlReply call(Consumer<Consumer<ControlReply>> call) throws Exception {
        CompletableFuture<ControlReply> reply = new CompletableFuture<>();
        loop.execute(() -> call.accept(reply::complete));
        return reply.get(5, TimeUnit.SECONDS);
    }

    private ControlReply reply(String response, BiConsumer<ControlStore, Consumer<ControlReply>> call)
            throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> {
                try (Socket socket = server.accept()) {
                    socket.getInputStream().read();
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                    socket.shutdownOutput();
                    socket.getInputStream().skip(Long.MAX_VALUE);
                } catch (IOException e) {
                    // The client closed the connection.
                    return;
                }
            });
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            CompletableFuture<ControlReply> reply = new CompletableFuture<>();
            loop.execute(() -> call.accept(KvControlStore.at(loop, address), reply::complete));
            return reply.get(5, TimeUnit.SECONDS);
        }
    }
}
