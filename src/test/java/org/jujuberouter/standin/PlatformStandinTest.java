package org.jujuberouter.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.store.HttpMemberList;
import org.jujuberouter.store.HttpPlatformStore;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.ListedMember;
import org.jujuberouter.store.MemoryPlatformStore;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against store clients that treat a write of unknown outcome as applied or as not applied. */
class PlatformStandinTest {
    private static final byte[] ONE = {1, 0, (byte) 0xFF};
    private static final byte[] TWO = {2};

    private StoreServer server;
    private PlatformStore store;

    @BeforeEach
    void startStore() throws Exception {
        server = StoreServer.start();
        store = HttpPlatformStore.at(server.address(), Duration.ofSeconds(1));
    }

    @AfterEach
    void stopStore() {
        server.close();
    }

    @Test
    void returnsValuesAndConflictsAsTheBytesWritten() throws Exception {
        WriteOutcome.Done done = assertInstanceOf(
                WriteOutcome.Done.class, store.compareAndSet("a b&/é", PlatformStore.ABSENT, ONE, null));
        WriteOutcome.Conflict conflict = assertInstanceOf(
                WriteOutcome.Conflict.class, store.compareAndSet("a b&/é", PlatformStore.ABSENT, TWO, null));
        assertEquals(done.revision(), conflict.current().orElseThrow().revision());
        assertEquals(List.of(1, 0, -1), bytes(conflict.current()));
        assertEquals(List.of(1, 0, -1), bytes(store.read("a b&/é")));
        assertEquals(1, store.list("a b").size());
        assertInstanceOf(WriteOutcome.Done.class, store.delete("a b&/é", done.revision()));
        assertEquals(Optional.empty(), store.read("a b&/é"));
    }

    @Test
    void removesEntriesWhenTheirLeaseEnds() throws Exception {
        ManualTicker ticker = ManualTicker.atZero();
        MemoryPlatformStore memory = MemoryPlatformStore.create(ticker);
        LeaseId lease = memory.grantLease(Duration.ofSeconds(10));
        memory.compareAndSet("k", PlatformStore.ABSENT, ONE, lease);
        ticker.advance(Duration.ofSeconds(9));
        assertTrue(memory.renewLease(lease));
        ticker.advance(Duration.ofSeconds(9));
        assertTrue(memory.read("k").isPresent());
        ticker.advance(Duration.ofSeconds(1));
        assertFalse(memory.renewLease(lease));
        assertTrue(memory.read("k").isEmpty());
        assertInstanceOf(WriteOutcome.Conflict.class, memory.compareAndSet("k", PlatformStore.ABSENT, ONE, lease));
        LeaseId remote = store.grantLease(Duration.ofSeconds(10));
        assertTrue(store.renewLease(remote));
        store.revokeLease(remote);
        assertFalse(store.renewLease(remote));
    }

    @Test
    void completesAWaitingWatchOnAWrite() throws Exception {
        CompletableFuture<Optional<StoreEntry>> watched = new CompletableFuture<>();
        Thread.startVirtualThread(() -> {
            try {
                watched.complete(store.watch("k", 0, Duration.ofSeconds(20)));
            } catch (PlatformException e) {
                watched.completeExceptionally(e);
            }
        });
        while (server.counts().get("waitingWatches") == 0) {
            Thread.sleep(5);
        }
        store.compareAndSet("k", PlatformStore.ABSENT, TWO, null);
        assertEquals(List.of(2), bytes(watched.get()));
        assertEquals(Optional.empty(), store.watch("k", 99, Duration.ofMillis(10)));
    }

    @Test
    void reportsALostReplyAsUnknownAlthoughTheWriteTookEffect() throws Exception {
        server.inject(StoreFault.of(StoreFault.Kind.LOSE_REPLY).forCalls(1, "k"));
        assertInstanceOf(WriteOutcome.Unknown.class, store.compareAndSet("k", PlatformStore.ABSENT, ONE, null));
        assertEquals(List.of(1, 0, -1), bytes(store.read("k")));
        assertEquals(1, server.counts().get("writes"));
    }

    @Test
    void appliesADelayedWriteAfterItsConnectionWasClosed() throws Exception {
        server.inject(StoreFault.of(StoreFault.Kind.DELAY_EFFECT)
                .withDelay(Duration.ofMillis(300))
                .forCalls(1, ""));
        assertInstanceOf(WriteOutcome.Unknown.class, store.compareAndSet("k", PlatformStore.ABSENT, ONE, null));
        assertEquals(Optional.empty(), store.read("k"));
        assertEquals(List.of(1, 0, -1), bytes(store.watch("k", 0, Duration.ofSeconds(10))));
    }

    @Test
    void keepsItsDataAcrossAnOutage() throws Exception {
        store.compareAndSet("k", PlatformStore.ABSENT, ONE, null);
        for (StoreFault.Kind kind : List.of(StoreFault.Kind.REFUSE, StoreFault.Kind.UNAVAILABLE)) {
            server.inject(StoreFault.of(kind));
            assertThrows(PlatformException.class, () -> store.read("k"));
            assertInstanceOf(WriteOutcome.Unknown.class, store.delete("k", 1));
        }
        server.inject(StoreFault.none());
        assertEquals(List.of(1, 0, -1), bytes(store.read("k")));
    }

    @Test
    void returnsMembersOnlyAfterTheLag() throws Exception {
        ListedMember member = new ListedMember(
                "e1", ListedMember.Role.ENGINE, "assistant", "127.0.0.1:1", "mu-east", ListedMember.State.LIVE);
        try (ListServer list = ListServer.start(0, Duration.ofHours(1))) {
            HttpMemberList client = HttpMemberList.at(list.address());
            list.put(member);
            assertEquals(List.of(), client.read());
            list.setFault(Duration.ZERO, false);
            assertEquals(List.of(member), client.read());
            list.setFault(Duration.ZERO, true);
            assertThrows(PlatformException.class, client::read);
        }
    }

    private static List<Integer> bytes(Optional<StoreEntry> entry) {
        List<Integer> all = new java.util.ArrayList<>();
        for (byte b : entry.orElseThrow().value()) {
            all.add((int) b);
        }
        return all;
    }
}
