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
 * The settings in force on one instance.
 *
 * <p>Only a higher version replaces the one in force, whether it comes from the store or from a peer, so the settings never
 * revert, also when the store was restored to an older state; that is reported instead. When a peer's heartbeat shows a
 * higher version and the store's watch has not brought it within {@link #PULL_AFTER}, the document is pulled from that peer.
 */
public final class SettingsCache {
    /** How long the store's watch has the first chance to bring a version that a peer already has. */
    public static final Duration PULL_AFTER = Duration.ofMillis(500);

    /** How long a pull may stay without an answer before another one starts. */
    public static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final List<Consumer<Settings>> listeners = new ArrayList<>();
    private final Map<InstanceId, Ahead> ahead = new TreeMap<>();
    private final Set<InstanceId> tried = new HashSet<>();
    private SettingsDocument document = SettingsDocument.empty();
    private Settings settings = Settings.of(document);
    private long behindSince;
    private long pulledAt;
    private String problem = "";

    private SettingsCache(Ticker ticker) {
        this.ticker = ticker;
        this.pulledAt = ticker.nanos() - PULL_TIMEOUT.toNanos();
    }

    /** Returns a cache without settings, which is not ready. */
    public static SettingsCache create(Ticker ticker) {
        return new SettingsCache(ticker);
    }

    /** Returns the settings in force. */
    public synchronized Settings settings() {
        return settings;
    }

    /** Returns the document in force, to answer a peer's pull. */
    public synchronized SettingsDocument document() {
        return document;
    }

    /** Returns the version in force, which heartbeats carry; 0 while there is none. */
    public synchronized long version() {
        return document.version();
    }

    /** Tells whether there are settings to serve by. */
    public synchronized boolean isReady() {
        return document.version() > 0;
    }

    /** Returns what is wrong with the settings of this instance or the store; empty when nothing is. */
    public synchronized String problem() {
        return isReady() || !problem.isEmpty() ? problem : "no settings have come from the store or a peer";
    }

    /** Adds a listener, which is called with each new version in order and must not block. */
    public synchronized void addListener(Consumer<Settings> listener) {
        listeners.add(listener);
    }

    /** Takes the document that the store has; tells whether it came into force. */
    public synchronized boolean updateFromStore(SettingsDocument offered) {
        problem = problemWith(offered);
        return accept(offered);
    }

    /** Takes the document that a peer has sent; tells whether it came into force. */
    public synchronized boolean updateFromPeer(SettingsDocument offered) {
        return accept(offered);
    }

    /** Notes that the store has a document that cannot be read. */
    public synchronized void reportUnreadable(SettingsException cause) {
        problem = cause.getMessage();
    }

    /** Notes that the store has no document. */
    public synchronized void reportAbsent() {
        problem = isReady()
                ? "the store has no settings, but version " + version() + " is in force here"
                : "the store has no settings yet";
    }

    /** Notes the version in a peer's heartbeat. */
    public synchronized void observePeer(InstanceId peer, long version) {
        if (version <= document.version()) {
            ahead.remove(peer);
            return;
        }
        if (ahead.isEmpty()) {
            behindSince = ticker.nanos();
        }
        ahead.put(peer, new Ahead(version, ticker.nanos()));
    }

    /** Forgets a peer that is gone. */
    public synchronized void removePeer(InstanceId peer) {
        ahead.remove(peer);
    }

    /**
     * Returns the peer to pull the document from now, if a pull is due; counts it as started.
     *
     * <p>Of the peers that are ahead and were not tried yet, the one heard from last is asked: a peer that died is soon the
     * one heard from longest ago, and a silent one does not hold up the pull. When all were tried, the turn starts again. An
     * instance that is not ready does not wait for the store.
     */
    public synchronized Optional<InstanceId> startPull() {
        long now = ticker.nanos();
        boolean waited = !isReady() || now - behindSince >= PULL_AFTER.toNanos();
        if (ahead.isEmpty() || !waited || now - pulledAt < PULL_TIMEOUT.toNanos()) {
            return Optional.empty();
        }
        pulledAt = now;
        if (tried.containsAll(ahead.keySet())) {
            tried.clear();
        }
        InstanceId best = null;
        for (InstanceId peer : ahead.keySet()) {
            boolean later = best == null
                    || ahead.get(peer).heardNanos() - ahead.get(best).heardNanos() > 0;
            best = later && !tried.contains(peer) ? peer : best;
        }
        tried.add(best);
        return Optional.of(best);
    }

    private boolean accept(SettingsDocument offered) {
        if (offered.version() <= document.version()) {
            return false;
        }
        document = offered;
        settings = Settings.of(offered);
        ahead.values().removeIf(a -> a.version() <= offered.version());
        tried.clear();
        pulledAt = ticker.nanos() - PULL_TIMEOUT.toNanos();
        listeners.forEach(l -> l.accept(settings));
        return true;
    }

    private String problemWith(SettingsDocument offered) {
        if (offered.version() < document.version()) {
            return "the store has version " + offered.version() + ", older than version " + document.version()
                    + " in force here; the store may have been restored";
        }
        if (offered.version() == document.version() && !lastId(offered).equals(lastId(document))) {
            return "the store has another version " + offered.version() + " (change " + lastId(offered)
                    + ") than the one in force here (change " + lastId(document) + ")";
        }
        return "";
    }

    private static String lastId(SettingsDocument document) {
        return document.last().map(ChangeRecord::changeId).orElse("");
    }

    private record Ahead(long version, long heardNanos) {}
}
