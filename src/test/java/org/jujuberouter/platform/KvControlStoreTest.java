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
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jujuberouter.control.ControlEvent;
import org.jujuberouter.control.ControlReply;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.id.StorePosition;
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
        assertInstanceOf(
                ControlReply.Failure.class, reply(response, (store, l) -> store.watch(StorePosition.of(0, 7), 100, l)));
        assertInstanceOf(ControlReply.Failure.class, reply(response, ControlStore::read));
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
            assertEquals(StorePosition.of(1, 8), read.position());
            assertEquals(StorePosition.of(1, 4), read.events().getFirst().position());
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
            assertInstanceOf(ControlReply.Compacted.class, call(l -> store.watch(StorePosition.of(0, 1), 100, l)));
            ControlReply.Success read = assertInstanceOf(ControlReply.Success.class, call(store::read));
            assertKeys(List.of("a", "b"), read);
            assertEquals(read.events().getLast().position(), read.position());
            assertKeys(List.of("a", "b"), read(site));
        }
    }

    /** A watch from before a restore got the later changes only, once the store had reached its revision again. */
    @Test
    void readsTheStateAfterARestoreThoughTheStoreHasTheRevisionOfTheWatchAgain() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            site.put("a", "{}");
            site.copy();
            site.put("b", "{}");
            KvControlStore store = KvControlStore.at(loop, site.address());
            StorePosition before = assertInstanceOf(ControlReply.Success.class, call(store::read))
                    .position();
            site.restore();
            List.of("c", "d", "e").forEach(k -> site.put(k, "{}"));
            assertInstanceOf(ControlReply.Compacted.class, call(l -> store.watch(before, 100, l)));
            ControlReply.Success read = assertInstanceOf(ControlReply.Success.class, call(store::read));
            assertKeys(List.of("a", "c", "d", "e"), read);
            assertEquals(StorePosition.of(2, 5), read.position());
            assertInstanceOf(ControlReply.Success.class, call(l -> store.watch(read.position(), 1, l)));
        }
    }

    /** Replicas may answer from before the restore. */
    @Test
    void readsTheStateItselfWhenStalePagesAreOfAnEarlierEra() throws Exception {
        try (KvStandin site = KvStandin.start()) {
            site.put("a", "{}");
            site.copy();
            site.put("b", "{}");
            site.keepStale();
            site.restore();
            List.of("c", "d").forEach(k -> site.put(k, "{}"));
            ControlReply.Success read = read(site);
            assertKeys(List.of("a", "c", "d"), read);
            assertEquals(StorePosition.of(2, 4), read.position());
        }
    }

    /** An answer that was given before a restore and arrives after it is of no use; one without an era is. */
    @Test
    void takesNoAnswerOfAnEarlierEraForAConfirmation() throws Exception {
        Queue<String> eras =
                new ConcurrentLinkedQueue<>(List.of("Store-Era: 2\r\n", "Store-Era: 1\r\n", "", "x: y\r\n"));
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> answerWatches(server, eras));
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            KvControlStore store = KvControlStore.at(loop, address);
            StorePosition after = StorePosition.of(2, 7);
            assertInstanceOf(ControlReply.Success.class, call(l -> store.watch(after, 100, l)));
            assertInstanceOf(ControlReply.Failure.class, call(l -> store.watch(after, 100, l)));
            assertInstanceOf(ControlReply.Success.class, call(l -> store.watch(after, 100, l)));
            assertInstanceOf(ControlReply.Success.class, call(l -> store.watch(after, 100, l)));
        }
    }

    private static void answerWatches(ServerSocket server, Queue<String> headers) {
        String body = "{\"events\":[],\"At\":7}";
        while (!headers.isEmpty()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[4_096]);
                String head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + headers.poll() + "Content-Length: "
                        + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The test has ended.
                return;
            }
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
