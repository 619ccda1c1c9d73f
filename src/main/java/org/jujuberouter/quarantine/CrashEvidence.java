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
 * What is known about requests that were in flight when an endpoint crashed.
 *
 * <p>The evidence is a set of marks, each one request at one crash, and each mark can be cleared once. Both only grow until
 * they expire, so that notices may arrive in any order, late, or repeatedly, and all instances that got the same notices
 * agree. A request with two marks that are not cleared is convicted. Two are required because every other request at the
 * endpoint gets a mark from the same crash; the isolation of marked requests then separates the culprit from them.
 *
 * <p>A clearance that arrives before its crash notice is kept as a cleared mark. A clearance lifts a conviction that rests
 * on the cleared mark; in the store it then stands until its lease ends.
 *
 * <p>Thread-safe.
 */
public final class CrashEvidence {
    /** How long a mark counts. After a new version of model or engine the request may be harmless. */
    public static final Duration EXPIRY = Duration.ofHours(1);

    static final int CONVICTING_MARKS = 2;

    /** Marks kept, about 200 bytes each. The oldest requests are forgotten first. */
    private static final int MAX_FINGERPRINTS = 20_000;

    private final Ticker ticker;
    /** The marks of each request by crash id, sorted so that notices built from them are the same everywhere. */
    private final Map<Fingerprint, Map<String, Mark>> marks = new LinkedHashMap<>();

    private CrashEvidence(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns empty evidence. */
    public static CrashEvidence empty(Ticker ticker) {
        return new CrashEvidence(ticker);
    }

    /**
     * Records a crash that this instance saw as the owner of the endpoint. The notice is to be sent to all peers.
     *
     * @return the requests that are convicted by it
     */
    public synchronized List<QuarantineEntry> crashed(CrashNotice notice) {
        return add(notice, true);
    }

    /**
     * Merges a notice of a peer.
     *
     * @return the requests that are convicted by it and to be written to the store by this instance, which saw one of the
     *     crashes itself; the other instances leave that write to it
     */
    public synchronized List<QuarantineEntry> merge(CrashNotice notice) {
        return add(notice, false);
    }

    /** Merges a clearance of a peer. */
    public synchronized void merge(ClearNotice notice) {
        long at = ticker.nanos() - notice.age().toNanos();
        if (isExpired(at)) {
            return;
        }
        Map<String, Mark> of = marksOf(notice.fingerprint());
        for (String crashId : notice.crashIds()) {
            of.computeIfAbsent(crashId, id -> new Mark(null, at)).cleared = true;
        }
    }

    /** Merges a conviction read from the store. */
    public synchronized void merge(QuarantineEntry conviction) {
        conviction.crashes().forEach(c -> add(c, false));
    }

    /** Records that a request completed; the notice, if there is one, is to be sent to all peers. */
    public synchronized Optional<ClearNotice> completed(Fingerprint fingerprint) {
        Map<String, Mark> open = openMarks(fingerprint);
        if (open.isEmpty()) {
            return Optional.empty();
        }
        long oldest = open.values().stream().mapToLong(m -> m.atNanos).min().orElseThrow();
        open.values().forEach(m -> m.cleared = true);
        return Optional.of(new ClearNotice(fingerprint, open.keySet(), age(oldest)));
    }

    /** Returns what the evidence says about a request. */
    public synchronized QuarantineStatus status(Fingerprint fingerprint) {
        int count = openMarks(fingerprint).size();
        if (count >= CONVICTING_MARKS) {
            return QuarantineStatus.QUARANTINED;
        }
        return count == 0 ? QuarantineStatus.UNMARKED : QuarantineStatus.MARKED;
    }

    /**
     * Tells whether a request may start at an endpoint; asked by the endpoint's owner before it grants.
     *
     * @param inFlight what runs there
     */
    public synchronized boolean mayRunBeside(Fingerprint fingerprint, Collection<Fingerprint> inFlight) {
        return switch (status(fingerprint)) {
            case UNMARKED -> true;
            case MARKED -> inFlight.stream().allMatch(f -> status(f) == QuarantineStatus.UNMARKED);
            case QUARANTINED -> false;
        };
    }

    /** Returns the marks of a request as notices, for a peer that decides about it now. */
    public synchronized List<CrashNotice> noticesFor(Fingerprint fingerprint) {
        List<CrashNotice> notices = new ArrayList<>();
        openMarks(fingerprint).forEach((id, mark) -> {
            if (mark.endpoint != null) {
                notices.add(new CrashNotice(id, mark.endpoint, Set.of(fingerprint), age(mark.atNanos)));
            }
        });
        return notices;
    }

    /** Forgets what has expired; to be called every minute or so. */
    public synchronized void expire() {
        marks.values().forEach(of -> of.values().removeIf(m -> isExpired(m.atNanos)));
        marks.values().removeIf(Map::isEmpty);
    }

    /** Returns how many requests have a mark, cleared or not. */
    public synchronized int size() {
        return marks.size();
    }

    private List<QuarantineEntry> add(CrashNotice notice, boolean seenHere) {
        long at = ticker.nanos() - notice.age().toNanos();
        List<QuarantineEntry> convictions = new ArrayList<>();
        if (isExpired(at)) {
            return convictions;
        }
        for (Fingerprint fingerprint : notice.inFlight()) {
            boolean before = status(fingerprint) == QuarantineStatus.QUARANTINED;
            Mark mark = marksOf(fingerprint).computeIfAbsent(notice.crashId(), id -> new Mark(notice.endpoint(), at));
            mark.endpoint = notice.endpoint();
            mark.seenHere |= seenHere;
            boolean writes = openMarks(fingerprint).values().stream().anyMatch(m -> m.seenHere);
            if (!before && writes && status(fingerprint) == QuarantineStatus.QUARANTINED) {
                convictions.add(new QuarantineEntry(fingerprint, noticesFor(fingerprint)));
            }
        }
        return convictions;
    }

    private Map<String, Mark> marksOf(Fingerprint fingerprint) {
        if (marks.size() >= MAX_FINGERPRINTS && !marks.containsKey(fingerprint)) {
            marks.remove(marks.keySet().iterator().next());
        }
        return marks.computeIfAbsent(fingerprint, f -> new TreeMap<>());
    }

    private Map<String, Mark> openMarks(Fingerprint fingerprint) {
        Map<String, Mark> open = new HashMap<>();
        marks.getOrDefault(fingerprint, Map.of()).forEach((id, mark) -> {
            if (!mark.cleared && !isExpired(mark.atNanos)) {
                open.put(id, mark);
            }
        });
        return open;
    }

    private boolean isExpired(long atNanos) {
        return ticker.nanos() - atNanos >= EXPIRY.toNanos();
    }

    private Duration age(long atNanos) {
        return Duration.ofNanos(Math.max(0, ticker.nanos() - atNanos));
    }

    private static final class Mark {
        private EndpointId endpoint;
        private final long atNanos;
        private boolean cleared;
        private boolean seenHere;

        private Mark(EndpointId endpoint, long atNanos) {
            this.endpoint = endpoint;
            this.atNanos = atNanos;
        }
    }
}
