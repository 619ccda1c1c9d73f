package org.jujuberouter.control;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.misc.Ticker;

/**
 * Keeps a copy of the store up to date with a single watch.
 *
 * <p>The state is read once and then updated with its changes. Each answered watch proves that nothing else had changed
 * when it was sent; the bound on the use of revoked API keys depends on that. The pages of a read are not a consistent
 * snapshot, so the watch continues from the revision of the first page, and changes that are already known are skipped
 * by their revision.
 *
 * <p>A view is also proved by a peer: if a peer had received all changes up to some time, and this instance has received
 * at least the revisions that the peer has, this view was complete at that time too. While peers prove the view, a watch
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
    private static final long PROVED_WATCH_TIMEOUT_MS = 10_000;

    /** Age of the last proof by a peer from which on this instance proves its view by its own watches. */
    private static final long MAX_PROOF_AGE_MS = 2_500;

    /**
     * Number of consecutive reports of a later revision after which a long watch is replaced; a change may reach the
     * peer a moment earlier. A short watch fails in time by itself.
     */
    private static final int MAX_LATER_REVISIONS = 2;

    /**
     * Delay before the next watch after a change, per instance, so that further changes are received in one batch. A
     * change completes the watches of all instances, so with this delay they send at most 125 watches per second in
     * total.
     */
    private static final long BATCHING_MS_PER_INSTANCE = 8;

    /** Maximum batching delay; changes must take effect within bounds of 2 s or more. */
    private static final long MAX_BATCHING_MS = 600;

    private static final long INITIAL_RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 400;

    /** Time within which live endpoints register again after an outage of the store, as specified by the platform. */
    private static final long RECONNECT_GRACE_MS = 1_900;

    private final ControlStore store;
    private final EventLoop loop;
    private final Ticker ticker;
    private final StoreListener listener;
    private final Map<String, ControlEvent.Written> entries = new HashMap<>();
    private long revision;
    private long retryMs = INITIAL_RETRY_MS;
    private boolean connected;
    private long reconnectedAt;
    private boolean wasDisconnected;
    private boolean provesForOthers;
    private boolean provedByPeer;
    private long peerProofNanos;
    private int laterRevisions;
    private long watchNumber;
    private long outstandingWatchMs;

    private StoreWatcher(ControlStore store, EventLoop loop, Ticker ticker, StoreListener listener) {
        this.store = store;
        this.loop = loop;
        this.ticker = ticker;
        this.listener = listener;
    }

    /** Returns a watcher that has not been started. */
    public static StoreWatcher of(ControlStore store, EventLoop loop, Ticker ticker, StoreListener listener) {
        return new StoreWatcher(store, loop, ticker, listener);
    }

    /** Reads the state and watches it from then on. */
    public void start() {
        readAll();
    }

    /** Returns the latest revision of the store that this instance has received. */
    public long revision() {
        return revision;
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
                case ControlReply.Compacted _ -> retry("the store has compacted the requested revision", this::readAll);
                case ControlReply.Failed failed -> retry(failed.reason(), this::readAll);
            }
        });
    }

    private void watch() {
        long sentAt = ticker.nanos();
        long number = ++watchNumber;
        outstandingWatchMs = watchTimeoutMs();
        laterRevisions = 0;
        store.watch(revision, outstandingWatchMs, reply -> {
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
                revision = Math.max(revision, changes.revision());
                if (changes.events().isEmpty()) {
                    watch();
                } else {
                    loop.schedule(this::watch, batchingMs(), TimeUnit.MILLISECONDS);
                }
            }
            case ControlReply.Compacted _ -> readAll();
            case ControlReply.Failed failed -> retry(failed.reason(), this::watch);
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
    }

    /**
     * Handles the report of a peer that its view, of the given revision, was complete at the given time. Returns whether
     * that proves the view of this instance for the same time.
     */
    public boolean onPeerReport(long peerRevision, long atNanos) {
        if (peerRevision > revision) {
            laterRevisions++;
            if (laterRevisions >= MAX_LATER_REVISIONS && outstandingWatchMs > WATCH_TIMEOUT_MS) {
                replaceWatch();
            }
            return false;
        }
        laterRevisions = 0;
        if (!provedByPeer || atNanos > peerProofNanos) {
            peerProofNanos = atNanos;
        }
        provedByPeer = true;
        return true;
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
            outstandingWatchMs = 0;
            watchNumber++;
            store.cancelWatch();
            watch();
        }
    }

    private long batchingMs() {
        if (!provesForOthers && isProvedByPeer()) {
            return MAX_BATCHING_MS;
        }
        return Math.min(MAX_BATCHING_MS, instanceCount() * BATCHING_MS_PER_INSTANCE);
    }

    private long instanceCount() {
        return entries.values().stream()
                .filter(w -> w.entry() instanceof ControlEntry.Peer)
                .count();
    }

    private void confirm(long sentAt) {
        if (!connected) {
            reconnectedAt = ticker.nanos();
        }
        connected = true;
        retryMs = INITIAL_RETRY_MS;
        listener.onConfirmed(sentAt);
    }

    private void retry(String reason, Runnable next) {
        if (connected) {
            wasDisconnected = true;
        }
        connected = false;
        listener.onUnavailable(reason);
        loop.schedule(next, retryMs, TimeUnit.MILLISECONDS);
        retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }

    private void applySnapshot(ControlReply.Success snapshot) {
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
        revision = snapshot.revision();
    }

    private void apply(ControlEvent event) {
        ControlEvent.Written last = entries.get(event.key());
        if (last != null && event.revision() <= last.revision()) {
            return;
        }
        switch (event) {
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

    private void remove(String key) {
        ControlEvent.Written last = entries.remove(key);
        if (last != null) {
            listener.onRemoved(key, last.entry(), graceMs());
        }
    }

    /** Returns the time left in which entries that expired during an outage of the store may be written again. */
    private long graceMs() {
        long sinceReconnectMs = TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - reconnectedAt);
        return wasDisconnected ? Math.max(0, RECONNECT_GRACE_MS - sinceReconnectMs) : 0;
    }
}
