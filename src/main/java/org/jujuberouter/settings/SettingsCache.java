package org.jujuberouter.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/**
 * The settings in effect on an instance.
 *
 * <p>The current document is replaced only by one with a higher version, from the store or from a peer. Settings
 * therefore never revert, even if the store is restored from an older backup; that case is reported as a problem
 * instead. If a peer's heartbeat announces a higher version and the store watch has not delivered it within
 * {@link #PULL_DELAY}, the document is pulled from that peer.
 */
public final class SettingsCache {
    /** How long to wait for the store watch to deliver a version before it is pulled from a peer. */
    public static final Duration PULL_DELAY = Duration.ofMillis(500);

    /** How long a pull waits for its reply before another one is started. */
    public static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final List<Consumer<Settings>> listeners = new ArrayList<>();
    private final Map<InstanceId, PeerVersion> newerPeers = new TreeMap<>();
    private final Set<InstanceId> attemptedPeers = new HashSet<>();
    private SettingsDocument document = SettingsDocument.empty();
    private Settings settings = Settings.of(document);
    private long behindSinceNanos;
    private long lastPullNanos;
    private String problem = "";

    private SettingsCache(Ticker ticker) {
        this.ticker = ticker;
        this.lastPullNanos = ticker.nanos() - PULL_TIMEOUT.toNanos();
    }

    /** Returns an empty cache, which is not ready. */
    public static SettingsCache create(Ticker ticker) {
        return new SettingsCache(ticker);
    }

    /** Returns the current settings. */
    public synchronized Settings settings() {
        return settings;
    }

    /** Returns the current document, for replies to pulls from peers. */
    public synchronized SettingsDocument document() {
        return document;
    }

    /** Returns the current version, which is announced in heartbeats; 0 if there are no settings yet. */
    public synchronized long version() {
        return document.version();
    }

    /** Returns whether settings have been received. */
    public synchronized boolean isReady() {
        return document.version() > 0;
    }

    /** Describes the problem with the settings of this instance or of the store; empty if there is none. */
    public synchronized String problem() {
        return isReady() || !problem.isEmpty() ? problem : "no settings have come from the store or a peer";
    }

    /** Adds a listener, which is called with each new version, in order. The listener must not block. */
    public synchronized void addListener(Consumer<Settings> listener) {
        listeners.add(listener);
    }

    /** Updates the cache with the document in the store; returns whether it replaced the current one. */
    public synchronized boolean updateFromStore(SettingsDocument offered) {
        problem = describeProblem(offered);
        return replaceIfNewer(offered);
    }

    /** Updates the cache with a document received from a peer; returns whether it replaced the current one. */
    public synchronized boolean updateFromPeer(SettingsDocument offered) {
        return replaceIfNewer(offered);
    }

    /** Records that the document in the store cannot be decoded. */
    public synchronized void reportUnreadable(SettingsException cause) {
        problem = cause.getMessage();
    }

    /** Records that the store has no document. */
    public synchronized void reportAbsent() {
        problem = isReady()
                ? "the store has no settings, but version " + version() + " is in force here"
                : "the store has no settings yet";
    }

    /** Records the version announced in a peer's heartbeat. */
    public synchronized void observePeer(InstanceId peer, long version) {
        if (version <= document.version()) {
            newerPeers.remove(peer);
            return;
        }
        if (newerPeers.isEmpty()) {
            behindSinceNanos = ticker.nanos();
        }
        newerPeers.put(peer, new PeerVersion(version, ticker.nanos()));
    }

    /** Removes a peer that is no longer listed. */
    public synchronized void removePeer(InstanceId peer) {
        newerPeers.remove(peer);
    }

    /**
     * Returns the peer from which to pull the document now, and marks the pull as started; empty if no pull is due.
     *
     * <p>Selects the peer with the most recent heartbeat among those that have a newer version and were not attempted
     * yet. Failed peers thus come last, and an unresponsive peer is not retried before the others. After all peers were
     * attempted, the selection starts over. An instance that is not ready does not wait for {@link #PULL_DELAY}.
     */
    public synchronized Optional<InstanceId> startPull() {
        long now = ticker.nanos();
        boolean delayElapsed = !isReady() || now - behindSinceNanos >= PULL_DELAY.toNanos();
        if (newerPeers.isEmpty() || !delayElapsed || now - lastPullNanos < PULL_TIMEOUT.toNanos()) {
            return Optional.empty();
        }
        lastPullNanos = now;
        if (attemptedPeers.containsAll(newerPeers.keySet())) {
            attemptedPeers.clear();
        }
        InstanceId candidate = null;
        for (InstanceId peer : newerPeers.keySet()) {
            boolean later = candidate == null
                    || newerPeers.get(peer).receivedNanos()
                                    - newerPeers.get(candidate).receivedNanos()
                            > 0;
            candidate = later && !attemptedPeers.contains(peer) ? peer : candidate;
        }
        attemptedPeers.add(candidate);
        return Optional.of(candidate);
    }

    private boolean replaceIfNewer(SettingsDocument offered) {
        if (offered.version() <= document.version()) {
            return false;
        }
        document = offered;
        settings = Settings.of(offered);
        newerPeers.values().removeIf(p -> p.version() <= offered.version());
        attemptedPeers.clear();
        lastPullNanos = ticker.nanos() - PULL_TIMEOUT.toNanos();
        listeners.forEach(l -> l.accept(settings));
        return true;
    }

    private String describeProblem(SettingsDocument offered) {
        if (offered.version() < document.version()) {
            return "the store has version " + offered.version() + ", older than version " + document.version()
                    + " in force here; the store may have been restored";
        }
        if (offered.version() == document.version() && !lastChangeId(offered).equals(lastChangeId(document))) {
            return "the store has another version " + offered.version() + " (change " + lastChangeId(offered)
                    + ") than the one in force here (change " + lastChangeId(document) + ")";
        }
        return "";
    }

    private static String lastChangeId(SettingsDocument document) {
        return document.last().map(ChangeRecord::changeId).orElse("");
    }

    private record PeerVersion(long version, long receivedNanos) {}
}
