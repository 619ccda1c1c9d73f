package org.jujuberouter.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Ticker;

/**
 * Keeps a copy of the store up to date with a single watch.
 *
 * <p>The state is read once and then updated with its changes. Each answered watch proves that nothing else had changed
 * when it was sent; the bound on the use of revoked API keys depends on that. The pages of a read are not a consistent
 * snapshot, so the watch continues from the position of the first page, and changes that are already known are skipped
 * by their position.
 *
 * <p>A view is also proved by a peer: if a peer had received all changes up to some time, and this instance has received
 * at least the changes that the peer has, this view was complete at that time too. While peers prove the view, a watch
 * waits long and serves only to receive changes. It is replaced when the proofs end, or when a peer has received a
 * change that this instance has not, since the connection of the watch may have failed silently.
 */
public final class StoreWatcher {
    /**
     * Timeout of one watch. A view is confirmed as of the time at which a watch was sent, so it is up to two timeouts
     * old when the next watch is answered. Together with a slow answer and the batching of changes, this fits into the
     * 3.8 s for which API keys are accepted.
     */
    private static final long WATCH_TIMEOUT_MS = 1_200;

    /** Timeout of a watch of an instance that proves the views of others, which add the interval of their queries. */
    private static final long PROVING_WATCH_TIMEOUT_MS = 600;

    /**
     * Timeout of a watch that tries whether the store answers again. A longer one would be answered only at the next
     * change, and the time of that would pass for the return of the store.
     */
    private static final long RECONNECT_WATCH_TIMEOUT_MS = 1;

    /** Timeout of a watch while peers prove the view; the store allows 30 s. */
    private static final long PROVED_WATCH_TIMEOUT_MS = 25_000;

    /** Age of the last proof by a peer from which on this instance proves its view by its own watches. */
    private static final long MAX_PROOF_AGE_MS = 2_500;

    /**
     * Number of consecutive reports of a later position after which a long watch is replaced; a change may reach the
     * peer a moment earlier. A short watch fails in time by itself.
     */
    private static final int MAX_LATER_REPORTS = 2;

    /**
     * Delay before the next watch after a change, per instance, so that further changes are received in one batch. A
     * change completes the watches of all instances, so with this delay they send at most 125 watches per second in
     * total.
     */
    private static final long BATCHING_MS_PER_INSTANCE = 8;

    /** Maximum batching delay; changes must take effect within bounds of 2 s or more. */
    private static final long MAX_BATCHING_MS = 600;

    /**
     * Batching delay in a large fleet while peers report their revision. A change takes effect within 1.7 s with two
     * answers of a slow store, 0.24 s each, and within 1.7 s if an answer is lost.
     */
    private static final long PROVED_BATCHING_MS = 1_200;

    /** Largest fleet that batches as if no peer reported; it has one group, and its calls are few. */
    public static final int MAX_SMALL_FLEET = 23;

    /**
     * Time after which a watch is replaced that should have been answered at once, as a peer has a later revision; a
     * slow store answers within 0.24 s.
     */
    private static final long OVERDUE_MS = 400;

    private static final long INITIAL_RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 400;

    /** Maximum retry delay of the instance that proves the views of others; they wait for it to reach the store. */
    private static final long PROVING_MAX_RETRY_MS = 300;

    /**
     * Maximum retry delay while the store turns away this instance but not its peers: a change reaches an instance
     * within 2 s after the store serves it again.
     */
    private static final long TURNED_AWAY_MAX_RETRY_MS = 1_500;

    /** Maximum retry delay while the peers do not reach the store either; they report its return. */
    private static final long OUTAGE_MAX_RETRY_MS = 4_000;

    private static final int RETRY_FACTOR = 2;

    /** Factor while peers report whether they reach the store; then nothing is gained by trying often. */
    private static final int REPORTED_RETRY_FACTOR = 4;

    /** Age up to which the last report of the peers counts: three intervals of their queries. */
    private static final long MAX_REPORT_AGE_MS = 1_500;

    private final ControlStore store;
    private final EventLoop loop;
    private final Ticker ticker;
    private final StoreListener listener;
    private final Map<String, ControlEvent.Written> entries = new HashMap<>();
    private StorePosition position = StorePosition.NONE;
    private long retryMs = INITIAL_RETRY_MS;
    private boolean connected;
    private boolean provesForOthers;
    private boolean provedByPeer;
    private long peerProofNanos;
    private int laterReports;
    private long watchNumber;
    private long outstandingWatchMs;
    private boolean peerIsAhead;
    private final PeerReports peerReports;
    private final ExpiryGrace expiryGrace;
    private ScheduledFuture<?> retryTimer;
    private Runnable retryCall;
    private long triedAt;

    private StoreWatcher(ControlStore store, EventLoop loop, Ticker ticker, StoreListener listener, long heartbeatMs) {
        this.store = store;
        this.loop = loop;
        this.ticker = ticker;
        this.listener = listener;
        this.peerReports = PeerReports.none(ticker, MAX_REPORT_AGE_MS);
        this.expiryGrace = ExpiryGrace.of(ticker, peerReports, heartbeatMs);
    }

    /**
     * Returns a watcher that has not been started.
     *
     * @param heartbeatMs interval at which endpoints renew their entries, in milliseconds
     */
    public static StoreWatcher of(
            ControlStore store, EventLoop loop, Ticker ticker, StoreListener listener, long heartbeatMs) {
        return new StoreWatcher(store, loop, ticker, listener, heartbeatMs);
    }

    /** Reads the state and watches it from then on. */
    public void start() {
        readAll();
    }

    /** Returns the latest position of the store that this instance has received. */
    public StorePosition position() {
        return position;
    }

    /** Returns whether the last call to the store succeeded. */
    public boolean isConnected() {
        return connected;
    }

    private void readAll() {
        long sentAt = ticker.nanos();
        store.read(reply -> {
            switch (reply) {
                case ControlReply.Success snapshot -> {
                    confirm(sentAt);
                    applySnapshot(snapshot);
                    watch();
                }
                case ControlReply.Compacted _ ->
                    retry(new ControlReply.Inconclusive("the store lacks the requested changes"), this::readAll);
                case ControlReply.Failure failure -> retry(failure, this::readAll);
            }
        });
    }

    private void watch() {
        long sentAt = ticker.nanos();
        long number = ++watchNumber;
        outstandingWatchMs = watchTimeoutMs();
        laterReports = 0;
        checkOverdue();
        store.watch(position, outstandingWatchMs, reply -> {
            if (number == watchNumber) {
                outstandingWatchMs = 0;
                onWatchReply(sentAt, reply);
            }
        });
    }

    private void onWatchReply(long sentAt, ControlReply reply) {
        switch (reply) {
            case ControlReply.Success changes -> {
                confirm(sentAt);
                changes.events().forEach(this::apply);
                if (changes.position().isAfter(position)) {
                    position = changes.position();
                }
                peerIsAhead = false;
                if (changes.events().isEmpty()) {
                    watch();
                } else {
                    loop.schedule(this::watch, batchingMs(), TimeUnit.MILLISECONDS);
                }
            }
            case ControlReply.Compacted _ -> readAll();
            case ControlReply.Failure failure -> retry(failure, this::watch);
        }
    }

    private long watchTimeoutMs() {
        if (!connected) {
            return RECONNECT_WATCH_TIMEOUT_MS;
        }
        if (provesForOthers) {
            return PROVING_WATCH_TIMEOUT_MS;
        }
        return isProvedByPeer() ? PROVED_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS;
    }

    private boolean isProvedByPeer() {
        return provedByPeer && ticker.nanos() - peerProofNanos < TimeUnit.MILLISECONDS.toNanos(MAX_PROOF_AGE_MS);
    }

    /** Sets whether this instance proves the views of others, which then wait for changes only. */
    public void setProvesForOthers(boolean proves) {
        provesForOthers = proves;
        if (maxRetryMs() <= MAX_RETRY_MS) {
            // The peers for which this instance waited do not report any more, or wait for this instance.
            retrySooner(MAX_RETRY_MS);
        }
    }

    /**
     * Handles the report of a peer that its view, at the given position, was complete at the given time. Returns whether
     * that proves the view of this instance for the same time.
     */
    public boolean onPeerReport(StorePosition peerPosition, long atNanos) {
        if (peerReports.reachesStore(atNanos)) {
            // The store has returned for a peer; a first failure says little of the next attempts.
            retryMs = INITIAL_RETRY_MS;
            retrySooner(INITIAL_RETRY_MS);
        }
        expiryGrace.servedPeer(atNanos);
        if (!peerPosition.isComparableTo(position)) {
            // A build that does not know eras, beside a store that states them.
            return false;
        }
        if (peerPosition.isAfter(position)) {
            laterReports++;
            if (!peerIsAhead) {
                peerIsAhead = true;
                checkOverdue();
            }
            if (laterReports >= MAX_LATER_REPORTS && outstandingWatchMs > WATCH_TIMEOUT_MS) {
                replaceWatch();
            }
            return false;
        }
        laterReports = 0;
        peerIsAhead = false;
        if (!provedByPeer || atNanos > peerProofNanos) {
            peerProofNanos = atNanos;
        }
        provedByPeer = true;
        return true;
    }

    /** Handles the report of a peer that it does not reach the store. */
    public void onPeerWithoutStore() {
        peerReports.lacksStore();
    }

    /** Returns whether this instance learns of the return of the store from its peers. */
    public boolean awaitsStoreOfPeers() {
        return !connected && !provesForOthers && peerReports.areWithoutStore();
    }

    /**
     * Replaces a watch whose answer seems lost, since the store answers at once if a peer has received more. A short
     * watch counts as failed, so that an instance that is cut off from the store notices it.
     */
    private void checkOverdue() {
        if (!peerIsAhead || outstandingWatchMs == 0 || provesForOthers) {
            return;
        }
        long number = watchNumber;
        loop.schedule(
                () -> {
                    if (number != watchNumber || !peerIsAhead || outstandingWatchMs == 0) {
                        return;
                    }
                    if (outstandingWatchMs > WATCH_TIMEOUT_MS) {
                        replaceWatch();
                    } else if (connected) {
                        endWatch();
                        retry(
                                new ControlReply.Inconclusive(
                                        "no answer to a watch though a peer has a later position"),
                                this::watch);
                    }
                },
                OVERDUE_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Replaces a long watch if the view is not proved by peers any more; called at short intervals. */
    public void checkProof() {
        if (outstandingWatchMs > watchTimeoutMs()) {
            replaceWatch();
        }
    }

    private void replaceWatch() {
        if (outstandingWatchMs > 0) {
            provedByPeer = false;
            endWatch();
            watch();
        }
    }

    private void endWatch() {
        outstandingWatchMs = 0;
        watchNumber++;
        store.cancelWatch();
    }

    private long batchingMs() {
        long instances = instanceCount();
        if (!provesForOthers && instances > MAX_SMALL_FLEET && peerReports.reachStore()) {
            return PROVED_BATCHING_MS;
        }
        if (!provesForOthers && isProvedByPeer()) {
            return MAX_BATCHING_MS;
        }
        return Math.min(MAX_BATCHING_MS, instances * BATCHING_MS_PER_INSTANCE);
    }

    private long instanceCount() {
        return entries.values().stream()
                .filter(w -> w.entry() instanceof ControlEntry.Peer)
                .count();
    }

    private void confirm(long sentAt) {
        expiryGrace.answered();
        connected = true;
        retryMs = INITIAL_RETRY_MS;
        listener.onConfirmed(sentAt);
    }

    private void retry(ControlReply.Failure failure, Runnable next) {
        expiryGrace.failed(failure instanceof ControlReply.Refused);
        connected = false;
        listener.onUnavailable(failure.reason());
        triedAt = ticker.nanos();
        retryMs = Math.min(retryMs, maxRetryMs());
        scheduleRetry(next, retryMs);
        retryMs *= peerReports.reachStore() || awaitsStoreOfPeers() ? REPORTED_RETRY_FACTOR : RETRY_FACTOR;
    }

    private long maxRetryMs() {
        if (peerReports.reachStore()) {
            return TURNED_AWAY_MAX_RETRY_MS;
        }
        if (provesForOthers) {
            return PROVING_MAX_RETRY_MS;
        }
        return peerReports.areWithoutStore() ? OUTAGE_MAX_RETRY_MS : MAX_RETRY_MS;
    }

    /** Brings the scheduled retry forward to the given time after the last attempt. */
    private void retrySooner(long delayMs) {
        if (connected || retryTimer == null) {
            return;
        }
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - triedAt);
        long remainingMs = Math.max(0, delayMs - waitedMs);
        if (remainingMs < retryTimer.getDelay(TimeUnit.MILLISECONDS) && retryTimer.cancel(false)) {
            scheduleRetry(retryCall, remainingMs);
        }
    }

    private void scheduleRetry(Runnable next, long delayMs) {
        retryCall = next;
        retryTimer = loop.schedule(next, delayMs, TimeUnit.MILLISECONDS);
    }

    private void applySnapshot(ControlReply.Success snapshot) {
        if (position.isKnown() && snapshot.position().era() != position.era()) {
            expiryGrace.restored();
            listener.onRestored(position, snapshot.position());
        }
        Set<String> present = new HashSet<>();
        for (ControlEvent e : snapshot.events()) {
            present.add(e.key());
            apply(e);
        }
        for (String key : Set.copyOf(entries.keySet())) {
            if (!present.contains(key)) {
                remove(key);
            }
        }
        position = snapshot.position();
    }

    private void apply(ControlEvent event) {
        ControlEvent.Written last = entries.get(event.key());
        if (last != null && !event.position().isAfter(last.position())) {
            return;
        }
        switch (event) {
            case ControlEvent.Written written when isUnchanged(last, written) -> entries.put(written.key(), written);
            case ControlEvent.Written written -> {
                if (last != null && last.entry().getClass() != written.entry().getClass()) {
                    // A value that names an endpoint was overwritten by one that names none, or the reverse.
                    listener.onRemoved(written.key(), last.entry(), 0);
                }
                entries.put(written.key(), written);
                listener.onWritten(written.key(), written.entry());
            }
            case ControlEvent.Removed removed -> remove(removed.key());
        }
    }

    /** Returns whether the copy from which the store was restored has the entry as it is known. */
    private static boolean isUnchanged(ControlEvent.Written last, ControlEvent.Written written) {
        return last != null
                && last.position().revision() == written.position().revision()
                && last.entry().equals(written.entry());
    }

    private void remove(String key) {
        ControlEvent.Written last = entries.remove(key);
        if (last != null) {
            listener.onRemoved(key, last.entry(), expiryGrace.remainingMs());
        }
    }
}
