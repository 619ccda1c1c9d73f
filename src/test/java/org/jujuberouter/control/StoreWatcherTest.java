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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a view of the store that misses changes, applies outdated ones, or counts as current for too long. */
class StoreWatcherTest {
    /** Bound on the acceptance of revoked API keys. */
    private static final long REVOCATION_BOUND_MS = 5_000;

    /** Response time of a store under load. */
    private static final long STORE_RESPONSE_MS = 300;

    private static final long HEARTBEAT_MS = 1_200;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final ManualTicker ticker = ManualTicker.atZero();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> notifications = new ArrayList<>();
    private final List<Long> graces = new ArrayList<>();
    private LongConsumer confirmationListener = _ -> {};

    private final StoreListener listener = new StoreListener() {
        @Override
        public void onWritten(String key, ControlEntry entry) {
            notifications.add("written " + key);
        }

        @Override
        public void onRemoved(String key, ControlEntry entry, long graceMs) {
            notifications.add("removed " + key + (graceMs == 0 ? "" : " during outage"));
            graces.add(graceMs);
        }

        @Override
        public void onRestored(StorePosition last, StorePosition restored) {
            notifications.add("restored " + last + " to " + restored);
        }

        @Override
        public void onConfirmed(long sentNanos) {
            confirmationListener.accept(sentNanos);
            notifications.add("confirmed " + TimeUnit.NANOSECONDS.toMillis(sentNanos));
        }

        @Override
        public void onUnavailable(String reason) {
            notifications.add("unavailable: " + reason);
        }
    };

    /** Keeps each request until the test answers it. */
    private static final class ScriptedStore implements WatchOnlyStore {
        private final Deque<Consumer<ControlReply>> reads = new ArrayDeque<>();
        private final Deque<Consumer<ControlReply>> watches = new ArrayDeque<>();
        private final List<StorePosition> watchedAfter = new ArrayList<>();
        private final List<Long> timeouts = new ArrayList<>();
        private int cancelledWatches;

        @Override
        public synchronized void read(Consumer<ControlReply> answer) {
            reads.add(answer);
        }

        @Override
        public synchronized void watch(StorePosition after, long waitMs, Consumer<ControlReply> answer) {
            watchedAfter.add(after);
            timeouts.add(waitMs);
            watches.add(answer);
        }

        private synchronized int pending(boolean read) {
            return read ? reads.size() : watches.size();
        }

        private synchronized Consumer<ControlReply> take(boolean read) {
            return read ? reads.poll() : watches.poll();
        }

        @Override
        public synchronized void cancelWatch() {
            Consumer<ControlReply> cancelled = watches.poll();
            if (cancelled != null) {
                cancelledWatches++;
                cancelled.accept(new ControlReply.Refused("cancelled"));
            }
        }
    }

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private StoreWatcher watcher() {
        return StoreWatcher.of(store, loop, ticker, listener, HEARTBEAT_MS);
    }

    private void awaitRequest(boolean read) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (store.pending(read) == 0 && System.nanoTime() < end) {
            Thread.sleep(5);
        }
    }

    private void answer(boolean read, ControlReply reply) throws InterruptedException {
        awaitRequest(read);
        store.take(read).accept(reply);
    }

    private static StorePosition position(long revision) {
        return StorePosition.of(1, revision);
    }

    private static ControlEvent written(String key, long revision) {
        return new ControlEvent.Written(key, position(revision), new ControlEntry.Evacuation(FailureDomain.of(key)));
    }

    private static ControlReply success(long revision, ControlEvent... events) {
        return new ControlReply.Success(List.of(events), position(revision));
    }

    @Test
    void continuesFromTheRevisionOfTheReadAndSkipsKnownChanges() throws Exception {
        watcher().start();
        answer(true, success(10, written("a", 12), written("b", 3)));
        answer(false, success(12, written("a", 12)));
        answer(false, success(13, written("a", 13)));
        awaitRequest(false);
        assertEquals(List.of(position(10), position(12), position(13)), store.watchedAfter);
        assertEquals(
                List.of("confirmed 0", "written a", "written b", "confirmed 0", "confirmed 0", "written a"),
                notifications);
    }

    private static ControlEvent[] peers(int count) {
        ControlEvent[] instances = new ControlEvent[count];
        for (int i = 0; i < count; i++) {
            ControlEntry peer = new ControlEntry.Peer(
                    InstanceId.of("i" + i), new InetSocketAddress("127.0.0.1", 1), Optional.empty());
            instances[i] = new ControlEvent.Written("i" + i, position(1), peer);
        }
        return instances;
    }

    /**
     * With many instances and no changes for seconds, views expired between watches, and calls with API keys were
     * refused.
     */
    @Test
    void keepsTheViewOfManyInstancesCurrentWhileNothingChanges() throws Exception {
        StoreFreshness freshness = StoreFreshness.of(ticker, ticker, REVOCATION_BOUND_MS);
        confirmationListener = freshness::confirmAt;
        watcher().start();
        answer(true, success(10, peers(60)));
        for (int i = 0; i < 6; i++) {
            awaitRequest(false);
            ticker.advance(Duration.ofMillis(store.timeouts.getLast() + STORE_RESPONSE_MS));
            assertTrue(freshness.isCurrent(), "view of " + freshness.ageMs() + " ms");
            answer(false, success(10));
        }
    }

    /** All endpoints and instances register one after the other; each change completes the watches of all instances. */
    @Test
    void batchesChangesInOneWatch() throws Exception {
        watcher().start();
        answer(true, success(10, peers(60)));
        answer(false, success(11, written("a", 11)));
        Thread.sleep(100);
        assertEquals(0, store.pending(false), "watches in the first 100 ms after a change");
        awaitRequest(false);
        assertEquals(1, store.pending(false));
    }

    @Test
    void confirmsTheStateAsOfTheTimeTheWatchWasSent() throws Exception {
        watcher().start();
        answer(true, success(10));
        ticker.advance(Duration.ofMillis(1_200));
        answer(false, success(10));
        ticker.advance(Duration.ofMillis(1_200));
        answer(false, success(10));
        assertEquals(List.of("confirmed 0", "confirmed 0", "confirmed 1200"), notifications);
    }

    @Test
    void removesMissingKeysAfterACompaction() throws Exception {
        watcher().start();
        answer(true, success(10, written("a", 1), written("b", 2)));
        answer(false, new ControlReply.Compacted());
        answer(true, success(40, written("b", 2), written("c", 30)));
        assertEquals(
                List.of("confirmed 0", "written a", "written b", "confirmed 0", "written c", "removed a"),
                notifications);
    }

    @Test
    void reportsWhetherARemovalHappenedDuringAnOutage() throws Exception {
        watcher().start();
        answer(true, success(10, written("a", 1), written("b", 2)));
        answer(false, new ControlReply.Refused("status 503"));
        answer(false, success(20, new ControlEvent.Removed("a", position(15))));
        awaitRequest(false);
        ticker.advance(Duration.ofSeconds(3));
        answer(false, success(30, new ControlEvent.Removed("b", position(25))));
        assertEquals(
                List.of(
                        "confirmed 0",
                        "written a",
                        "written b",
                        "unavailable: status 503",
                        "confirmed 0",
                        "removed a during outage",
                        "confirmed 0",
                        "removed b"),
                notifications);
    }

    /** A grace that began with each removal kept endpoints in use that had left after the return of the store. */
    @Test
    void endsTheGraceOfARemovalAFixedTimeAfterTheStoreHasReturned() throws Exception {
        watcher().start();
        answer(true, success(10, written("a", 1), written("b", 2), written("c", 3)));
        answer(false, new ControlReply.Refused("status 503"));
        answer(false, success(20, new ControlEvent.Removed("a", position(15))));
        awaitRequest(false);
        ticker.advance(Duration.ofMillis(1_200));
        answer(false, success(30, new ControlEvent.Removed("b", position(25))));
        awaitRequest(false);
        ticker.advance(Duration.ofMillis(700));
        answer(false, success(40, new ControlEvent.Removed("c", position(35))));
        assertEquals(List.of(1_900L, 700L, 0L), graces);
    }

    /** A watch that waits is answered by the first change after the outage, whose time then passed for its end. */
    @Test
    void asksForAnAnswerAtOnceWhenTheStoreDidNotAnswer() throws Exception {
        watcher().start();
        answer(true, success(10));
        answer(false, new ControlReply.Refused("status 503"));
        answer(false, new ControlReply.Refused("status 503"));
        answer(false, success(10));
        awaitRequest(false);
        assertEquals(List.of(1_200L, 1L, 1L, 1_200L), store.timeouts);
    }

    private StoreWatcher startWithView(long revision) throws Exception {
        StoreWatcher watcher = watcher();
        watcher.start();
        answer(true, success(revision));
        awaitRequest(false);
        return watcher;
    }

    /** With 95 instances, watches that only proved that nothing had changed were most of the calls to the store. */
    @Test
    void waitsLongForChangesWhileAPeerProvesTheView() throws Exception {
        StoreWatcher watcher = startWithView(10);
        assertTrue(watcher.onPeerReport(position(10), ticker.nanos()));
        answer(false, success(10));
        assertEquals(List.of(1_200L, 25_000L), store.timeouts);
    }

    @Test
    void provesItsViewItselfWhenThePeersProofsEnd() throws Exception {
        StoreWatcher watcher = startWithView(10);
        watcher.onPeerReport(position(10), ticker.nanos());
        answer(false, success(10));
        ticker.advance(Duration.ofMillis(2_400));
        watcher.checkProof();
        assertEquals(0, store.cancelledWatches);
        ticker.advance(Duration.ofMillis(200));
        watcher.checkProof();
        assertEquals(1, store.cancelledWatches);
        assertEquals(List.of(1_200L, 25_000L, 1_200L), store.timeouts);
        assertTrue(notifications.stream().noneMatch(n -> n.startsWith("unavailable")), notifications.toString());
    }

    /** The connection of the watch may have failed without a reset. */
    @Test
    void replacesItsWatchWhenAPeerRepeatedlyReportsALaterRevision() throws Exception {
        StoreWatcher watcher = startWithView(10);
        watcher.onPeerReport(position(10), ticker.nanos());
        answer(false, success(10));
        assertEquals(false, watcher.onPeerReport(position(11), ticker.nanos()));
        assertEquals(0, store.cancelledWatches);
        assertEquals(false, watcher.onPeerReport(position(11), ticker.nanos()));
        assertEquals(1, store.cancelledWatches);
        assertEquals(1_200L, store.timeouts.getLast());
    }

    /** Otherwise the watch of an instance that is cut off from the store never failed, and the loss was not noticed. */
    @Test
    void leavesAShortWatchToItsTimeoutWhenAPeerReportsALaterRevision() throws Exception {
        StoreWatcher watcher = startWithView(10);
        for (int i = 0; i < 4; i++) {
            watcher.onPeerReport(position(11), ticker.nanos());
        }
        assertEquals(0, store.cancelledWatches);
    }

    @Test
    void watchesInShortIntervalsWhenItProvesTheViewsOfOthers() throws Exception {
        StoreWatcher watcher = startWithView(10);
        watcher.setProvesForOthers(true);
        watcher.onPeerReport(position(10), ticker.nanos());
        answer(false, success(10));
        assertEquals(600L, store.timeouts.getLast());
    }

    /** During a release of endpoints, each change ended the watches of all instances. */
    @Test
    void batchesChangesForLongerWhileAPeerProvesTheView() throws Exception {
        StoreWatcher watcher = startWithView(10);
        watcher.onPeerReport(position(10), ticker.nanos());
        answer(false, success(11, written("a", 11)));
        Thread.sleep(400);
        assertEquals(0, store.pending(false), "watches in the first 400 ms after a change");
        awaitRequest(false);
        assertEquals(1, store.pending(false));
    }

    private static ControlReply restored(long revision, ControlEvent... events) {
        return new ControlReply.Success(List.of(events), StorePosition.of(2, revision));
    }

    private static ControlEvent rewritten(String key, long revision) {
        return new ControlEvent.Written(
                key, StorePosition.of(2, revision), new ControlEntry.Evacuation(FailureDomain.of("another")));
    }

    /**
     * A key that the operator took away after a restore of the store was accepted for as long as revisions were below
     * those from before it.
     */
    @Test
    void appliesChangesOfARestoredStoreThoughTheirRevisionsAreLower() throws Exception {
        StoreWatcher watcher = watcher();
        watcher.start();
        answer(true, success(50, written("a", 40), written("b", 3)));
        answer(false, new ControlReply.Compacted());
        answer(true, restored(20, rewritten("a", 19), rewritten("b", 4)));
        answer(false, restored(21, rewritten("a", 21)));
        awaitRequest(false);
        assertEquals(StorePosition.of(2, 21), watcher.position());
        assertEquals(List.of(position(50), StorePosition.of(2, 20), StorePosition.of(2, 21)), store.watchedAfter);
        assertEquals(
                List.of(
                        "confirmed 0",
                        "written a",
                        "written b",
                        "confirmed 0",
                        "restored 1/50 to 2/20",
                        "written a",
                        "written b",
                        "confirmed 0",
                        "written a"),
                notifications);
    }

    /** Endpoints write again what the copy lacks; the cold start of one that it has must not begin anew. */
    @Test
    void keepsWhatARestoredStoreLacksForAWhileAndSkipsWhatItHasUnchanged() throws Exception {
        watcher().start();
        answer(true, success(50, written("a", 40), written("b", 3)));
        answer(false, new ControlReply.Compacted());
        ControlEntry unchanged = new ControlEntry.Evacuation(FailureDomain.of("b"));
        answer(true, restored(20, new ControlEvent.Written("b", StorePosition.of(2, 3), unchanged)));
        awaitRequest(false);
        assertEquals("removed a during outage", notifications.getLast());
        assertEquals(List.of(1_900L), graces);
        assertEquals(1, notifications.stream().filter("written b"::equals).count());
    }

    /** The revision of a peer after a restore was compared with one from before it, and proved an outdated view. */
    @Test
    void takesNoReportOfALaterEraForAProof() throws Exception {
        StoreWatcher watcher = startWithView(10);
        assertEquals(false, watcher.onPeerReport(StorePosition.of(2, 5), ticker.nanos()));
        assertTrue(watcher.onPeerReport(position(10), ticker.nanos()));
    }

    /** Beside a build that does not know eras, revisions of different eras cannot be told apart. */
    @Test
    void takesNoReportWithoutAnEraForAProofBesideAStoreThatStatesThem() throws Exception {
        StoreWatcher watcher = startWithView(10);
        assertEquals(false, watcher.onPeerReport(StorePosition.of(0, 5), ticker.nanos()));
        assertEquals(false, watcher.onPeerReport(StorePosition.of(0, 15), ticker.nanos()));
        assertEquals(0, store.cancelledWatches);
    }

    private static ControlReply silence() {
        return new ControlReply.Inconclusive("no response");
    }

    private void assertGraceAfterLoss(long graceMs, ControlReply failure, long lostMs) throws Exception {
        watcher().start();
        answer(true, success(10, written("a", 1)));
        awaitRequest(false);
        ticker.advance(Duration.ofMillis(lostMs));
        answer(false, failure);
        answer(false, success(20, new ControlEvent.Removed("a", position(15))));
        awaitRequest(false);
        assertEquals(List.of(graceMs), graces);
    }

    /** An endpoint that left while the connection was silent stayed in use for as long as after an outage. */
    @Test
    void givesNoGraceAfterAFailedConnectionWhileEntriesCannotHaveExpired() throws Exception {
        assertGraceAfterLoss(0, silence(), 2 * HEARTBEAT_MS - 1);
    }

    @Test
    void givesAGraceAfterASilenceInWhichEntriesCanHaveExpired() throws Exception {
        assertGraceAfterLoss(1_900, silence(), 2 * HEARTBEAT_MS);
    }

    @Test
    void givesAGraceAfterTheStoreHasStatedThatItDoesNotServe() throws Exception {
        assertGraceAfterLoss(1_900, new ControlReply.Refused("status 503"), 100);
    }

    /** The store served all others, so entries that it removed meanwhile had not expired for want of it. */
    @Test
    void givesNoGraceAfterALongLossInWhichTheStoreServedAPeer() throws Exception {
        StoreWatcher watcher = startWithEntry();
        loseFor(watcher, 10_000, true);
        answer(false, success(20, new ControlEvent.Removed("a", position(15))));
        awaitRequest(false);
        assertEquals(List.of(0L), graces);
    }

    /** A peer that reached the store again ended the time without it, but not the grace that this gives. */
    @Test
    void countsTheGraceFromTheReturnOfTheStoreThatAPeerReports() throws Exception {
        StoreWatcher watcher = startWithEntry();
        loseFor(watcher, 10_000, false);
        watcher.onPeerReport(position(20), ticker.nanos());
        ticker.advance(Duration.ofMillis(700));
        answer(false, success(20, new ControlEvent.Removed("a", position(15))));
        awaitRequest(false);
        assertEquals(List.of(1_200L), graces);
    }

    private StoreWatcher startWithEntry() throws Exception {
        StoreWatcher watcher = watcher();
        watcher.start();
        answer(true, success(10, written("a", 1)));
        awaitRequest(false);
        return watcher;
    }

    private void loseFor(StoreWatcher watcher, long millis, boolean peerServed) throws Exception {
        for (long passed = 0; passed < millis; passed += 500) {
            ticker.advance(Duration.ofMillis(500));
            answer(false, silence());
            if (peerServed) {
                watcher.onPeerReport(position(20), ticker.nanos());
            }
        }
    }
}
