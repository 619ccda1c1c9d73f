package org.jujuberouter.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a view of the store that misses a change, takes an older one, or counts as current too long. */
class StoreWatcherTest {
    /** The bound on API keys that were taken away, and the time of an answer of a store under load. */
    private static final long WITHDRAWAL_MS = 5_000;

    private static final long STORE_ANSWER_MS = 300;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualTicker ticker = ManualTicker.atZero();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> heard = new ArrayList<>();
    private LongConsumer proved = _ -> {};

    private final StoreListener listener = new StoreListener() {
        @Override
        public void onWritten(String key, ControlEntry entry) {
            heard.add("fact " + key);
        }

        @Override
        public void onRemoved(String key, ControlEntry entry, boolean seenLive) {
            heard.add("removed " + key + (seenLive ? "" : " while away"));
        }

        @Override
        public void onConfirmed(long sentNanos) {
            proved.accept(sentNanos);
            heard.add("contact " + TimeUnit.NANOSECONDS.toMillis(sentNanos));
        }

        @Override
        public void onUnavailable(String reason) {
            heard.add("lost " + reason);
        }
    };

    /** Keeps each question until the test answers it. */
    private static final class ScriptedStore implements ControlStore {
        private final Deque<Consumer<ControlReply>> reads = new ArrayDeque<>();
        private final Deque<Consumer<ControlReply>> watches = new ArrayDeque<>();
        private final List<Long> watchedAfter = new ArrayList<>();
        private final List<Long> waits = new ArrayList<>();

        @Override
        public synchronized void read(Consumer<ControlReply> answer) {
            reads.add(answer);
        }

        @Override
        public synchronized void watch(long afterRevision, long waitMs, Consumer<ControlReply> answer) {
            watchedAfter.add(afterRevision);
            waits.add(waitMs);
            watches.add(answer);
        }

        private synchronized int waiting(boolean read) {
            return read ? reads.size() : watches.size();
        }

        private synchronized Consumer<ControlReply> take(boolean read) {
            return read ? reads.poll() : watches.poll();
        }

        @Override
        public void register(InstanceId instance, InetSocketAddress peers, long leaseMs, Consumer<String> answer) {}

        @Override
        public void renew(Consumer<Boolean> answer) {}

        @Override
        public void deregister(Runnable done) {}
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private void awaitQuestion(boolean read) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (store.waiting(read) == 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
    }

    private void answer(boolean read, ControlReply reply) throws InterruptedException {
        awaitQuestion(read);
        store.take(read).accept(reply);
    }

    private static ControlEvent written(String key, long revision) {
        return new ControlEvent.Written(key, revision, new ControlEntry.Evacuation(FailureDomain.of(key)));
    }

    private static ControlReply known(long revision, ControlEvent... events) {
        return new ControlReply.Success(List.of(events), revision);
    }

    @Test
    void goesOnFromTheRevisionOfTheReadAndSkipsWhatItKnows() throws Exception {
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10, written("a", 12), written("b", 3)));
        answer(false, known(12, written("a", 12)));
        answer(false, known(13, written("a", 13)));
        awaitQuestion(false);
        assertEquals(List.of(10L, 12L, 13L), store.watchedAfter);
        assertEquals(List.of("contact 0", "fact a", "fact b", "contact 0", "contact 0", "fact a"), heard);
    }

    private static ControlEvent[] instances(int count) {
        ControlEvent[] instances = new ControlEvent[count];
        for (int i = 0; i < count; i++) {
            ControlEntry peer = new ControlEntry.Peer(InstanceId.of("i" + i), new InetSocketAddress("127.0.0.1", 1));
            instances[i] = new ControlEvent.Written("i" + i, 1, peer);
        }
        return instances;
    }

    /** Pattern: many instances while nothing changes for seconds; each refused all calls with keys now and then. */
    @Test
    void keepsTheViewOfManyInstancesCurrentWhileNothingChanges() throws Exception {
        StoreFreshness contact = StoreFreshness.of(ticker, ticker, WITHDRAWAL_MS);
        proved = contact::confirmAt;
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10, instances(60)));
        for (int i = 0; i < 6; i++) {
            awaitQuestion(false);
            ticker.advance(Duration.ofMillis(store.waits.getLast() + STORE_ANSWER_MS));
            assertTrue(contact.isCurrent(), "view of " + contact.ageMs() + " ms");
            answer(false, known(10));
        }
    }

    /** Pattern: all endpoints and instances register one after the other; each would end the watches of all instances. */
    @Test
    void letsChangesGatherForOneWatch() throws Exception {
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10, instances(60)));
        answer(false, known(11, written("a", 11)));
        Thread.sleep(100);
        assertEquals(0, store.waiting(false), "watches in the first 100 ms after a change");
        awaitQuestion(false);
        assertEquals(1, store.waiting(false));
    }

    @Test
    void countsContactFromTheMomentTheWatchWasSent() throws Exception {
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10));
        ticker.advance(Duration.ofMillis(1_200));
        answer(false, known(10));
        ticker.advance(Duration.ofMillis(1_200));
        answer(false, known(10));
        assertEquals(List.of("contact 0", "contact 0", "contact 1200"), heard);
    }

    @Test
    void removesWhatIsMissingWhenTheHistoryWasLost() throws Exception {
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10, written("a", 1), written("b", 2)));
        answer(false, new ControlReply.Compacted());
        answer(true, known(40, written("b", 2), written("c", 30)));
        assertEquals(List.of("contact 0", "fact a", "fact b", "contact 0", "fact c", "removed a"), heard);
    }

    @Test
    void tellsWhetherARemovalHappenedWhileTheStoreWasAway() throws Exception {
        StoreWatcher.of(store, loop, ticker, listener).start();
        answer(true, known(10, written("a", 1), written("b", 2)));
        answer(false, new ControlReply.Failed("status 503"));
        answer(false, known(20, new ControlEvent.Removed("a", 15)));
        awaitQuestion(false);
        ticker.advance(Duration.ofSeconds(3));
        answer(false, known(30, new ControlEvent.Removed("b", 25)));
        assertEquals(
                List.of(
                        "contact 0",
                        "fact a",
                        "fact b",
                        "lost status 503",
                        "contact 0",
                        "removed a while away",
                        "contact 0",
                        "removed b"),
                heard);
    }
}
