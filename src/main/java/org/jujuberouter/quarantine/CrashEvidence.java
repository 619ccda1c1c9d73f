package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.misc.Ticker;

/**
 * The requests that were in flight when an endpoint crashed.
 *
 * <p>The state is a set of marks, one for each request and crash, and each mark can be cleared once. Marks and
 * clearances are only added until they expire, so that notices may arrive in any order, late or repeatedly, and all
 * instances that received the same notices agree. A request with two marks that are not cleared is quarantined. One
 * mark is not enough, because every other request at the endpoint gets a mark from the same crash; running marked
 * requests apart from each other then separates the crashing request from the harmless ones.
 *
 * <p>A clearance that arrives before its crash notice is kept as a cleared mark. A clearance ends a quarantine that
 * depends on the cleared mark, but the entry in the store remains until its lease expires.
 *
 * <p>Thread-safe.
 */
public final class CrashEvidence {
    /** How long a mark counts; with a later version of the model or engine the request may be harmless. */
    public static final Duration MARK_LIFETIME = Duration.ofHours(1);

    static final int QUARANTINE_THRESHOLD = 2;

    /** Maximum number of marked requests, about 200 bytes per mark; the oldest are evicted first. */
    private static final int MAX_FINGERPRINTS = 20_000;

    private final Ticker ticker;
    /** The marks of each request by crash id, sorted so that all instances build the same notices from them. */
    private final Map<Fingerprint, Map<String, Mark>> marks = new LinkedHashMap<>();

    private CrashEvidence(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns empty evidence. */
    public static CrashEvidence empty(Ticker ticker) {
        return new CrashEvidence(ticker);
    }

    /**
     * Records a crash that this instance observed as the owner of the endpoint. The caller sends the notice to all
     * peers.
     *
     * @return the entries of the requests that it quarantines
     */
    public synchronized List<QuarantineEntry> crashed(CrashNotice notice) {
        return add(notice, true);
    }

    /**
     * Merges a notice of a peer.
     *
     * @return the entries of the requests that it quarantines and that this instance must write to the store, because
     *     it observed one of the crashes itself; other instances do not write them
     */
    public synchronized List<QuarantineEntry> merge(CrashNotice notice) {
        return add(notice, false);
    }

    /** Merges a clearance of a peer. */
    public synchronized void merge(ClearNotice notice) {
        long crashedAtNanos = ticker.nanos() - notice.age().toNanos();
        if (isExpired(crashedAtNanos)) {
            return;
        }
        Map<String, Mark> marksOfFingerprint = marksOf(notice.fingerprint());
        for (String crashId : notice.crashIds()) {
            marksOfFingerprint.computeIfAbsent(crashId, id -> new Mark(null, crashedAtNanos)).cleared = true;
        }
    }

    /** Merges an entry read from the store. */
    public synchronized void merge(QuarantineEntry entry) {
        entry.crashes().forEach(c -> add(c, false));
    }

    /** Records that a request completed; the caller sends the notice, if any, to all peers. */
    public synchronized Optional<ClearNotice> completed(Fingerprint fingerprint) {
        Map<String, Mark> active = activeMarks(fingerprint);
        if (active.isEmpty()) {
            return Optional.empty();
        }
        long oldest = active.values().stream().mapToLong(m -> m.atNanos).min().orElseThrow();
        active.values().forEach(m -> m.cleared = true);
        return Optional.of(new ClearNotice(fingerprint, active.keySet(), age(oldest)));
    }

    /** Returns the status of a request. */
    public synchronized QuarantineStatus status(Fingerprint fingerprint) {
        int count = activeMarks(fingerprint).size();
        if (count >= QUARANTINE_THRESHOLD) {
            return QuarantineStatus.QUARANTINED;
        }
        return count == 0 ? QuarantineStatus.UNMARKED : QuarantineStatus.MARKED;
    }

    /**
     * Returns whether a request may start at an endpoint; the endpoint's owner calls this before it grants a permit.
     *
     * @param inFlight the fingerprints of the requests that are running there
     */
    public synchronized boolean mayRunBeside(Fingerprint fingerprint, Collection<Fingerprint> inFlight) {
        return switch (status(fingerprint)) {
            case UNMARKED -> true;
            case MARKED -> inFlight.stream().allMatch(f -> status(f) == QuarantineStatus.UNMARKED);
            case QUARANTINED -> false;
        };
    }

    /** Returns the active marks of a request as notices, for a peer that decides on it now. */
    public synchronized List<CrashNotice> noticesFor(Fingerprint fingerprint) {
        List<CrashNotice> notices = new ArrayList<>();
        activeMarks(fingerprint).forEach((id, mark) -> {
            if (mark.endpoint != null) {
                notices.add(new CrashNotice(id, mark.endpoint, Set.of(fingerprint), age(mark.atNanos)));
            }
        });
        return notices;
    }

    /** Removes expired marks; to be called about once a minute. */
    public synchronized void expire() {
        marks.values().forEach(byCrash -> byCrash.values().removeIf(m -> isExpired(m.atNanos)));
        marks.values().removeIf(Map::isEmpty);
    }

    /** Returns the number of requests with a mark, cleared or not. */
    public synchronized int size() {
        return marks.size();
    }

    private List<QuarantineEntry> add(CrashNotice notice, boolean observedLocally) {
        long crashedAtNanos = ticker.nanos() - notice.age().toNanos();
        List<QuarantineEntry> entries = new ArrayList<>();
        if (isExpired(crashedAtNanos)) {
            return entries;
        }
        for (Fingerprint fingerprint : notice.inFlight()) {
            boolean wasQuarantined = status(fingerprint) == QuarantineStatus.QUARANTINED;
            Mark mark = marksOf(fingerprint)
                    .computeIfAbsent(notice.crashId(), id -> new Mark(notice.endpoint(), crashedAtNanos));
            mark.endpoint = notice.endpoint();
            mark.observedLocally |= observedLocally;
            boolean writesToStore = activeMarks(fingerprint).values().stream().anyMatch(m -> m.observedLocally);
            if (!wasQuarantined && writesToStore && status(fingerprint) == QuarantineStatus.QUARANTINED) {
                entries.add(new QuarantineEntry(fingerprint, noticesFor(fingerprint)));
            }
        }
        return entries;
    }

    private Map<String, Mark> marksOf(Fingerprint fingerprint) {
        if (marks.size() >= MAX_FINGERPRINTS && !marks.containsKey(fingerprint)) {
            marks.remove(marks.keySet().iterator().next());
        }
        return marks.computeIfAbsent(fingerprint, f -> new TreeMap<>());
    }

    private Map<String, Mark> activeMarks(Fingerprint fingerprint) {
        Map<String, Mark> active = new HashMap<>();
        marks.getOrDefault(fingerprint, Map.of()).forEach((id, mark) -> {
            if (!mark.cleared && !isExpired(mark.atNanos)) {
                active.put(id, mark);
            }
        });
        return active;
    }

    private boolean isExpired(long atNanos) {
        return ticker.nanos() - atNanos >= MARK_LIFETIME.toNanos();
    }

    private Duration age(long atNanos) {
        return Duration.ofNanos(Math.max(0, ticker.nanos() - atNanos));
    }

    private static final class Mark {
        private EndpointId endpoint;
        private final long atNanos;
        private boolean cleared;
        private boolean observedLocally;

        private Mark(EndpointId endpoint, long atNanos) {
            this.endpoint = endpoint;
            this.atNanos = atNanos;
        }
    }
}
