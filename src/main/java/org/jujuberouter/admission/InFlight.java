package org.jujuberouter.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;

/**
 * The work that counts against one endpoint.
 *
 * <p>Own work was permitted by this controller; foreign work was found in the engine's list without a permit, mostly placed by an
 * earlier owner. A permit that is not known to be in use counts until its holder reports or is gone for certain, because a
 * paused holder may still send; absence from the engine's list proves the end only of work that was seen to start.
 */
final class InFlight {
    /** How long a request without a permit is left alone before it is cancelled. */
    static final Duration ORPHAN_AFTER = Duration.ofSeconds(5);

    private static final long REMEMBER_ENDED_NANOS = Duration.ofSeconds(10).toNanos();

    private final HolderLiveness holders;
    private final Map<RequestId, Entry> permits = new LinkedHashMap<>();
    private final Map<RequestId, ListedRequest> foreign = new HashMap<>();
    private final Map<RequestId, Long> foreignSince = new HashMap<>();
    private final Map<RequestId, Long> orphans = new HashMap<>();
    private final Map<RequestId, Long> ended = new LinkedHashMap<>();
    private final Map<Fingerprint, RequestId> fingerprints = new HashMap<>();
    private final LaneUsage own = new LaneUsage();
    private final LaneUsage others = new LaneUsage();
    private Optional<RequestId> marked = Optional.empty();
    private long unsentSlots;
    private long unsentTokens;

    InFlight(HolderLiveness holders) {
        this.holders = holders;
    }

    LaneUsage own() {
        return own;
    }

    LaneUsage others() {
        return others;
    }

    /** Tells whether one more permit keeps the work that may be sent late within the given part of the bound. */
    boolean maySendLate(long tokens, Capacity part) {
        return unsentTokens + tokens <= part.tokens() && (unsentSlots == 0 || unsentSlots + 1 <= part.slots());
    }

    Optional<RequestId> marked() {
        return marked;
    }

    RequestId running(Fingerprint fingerprint) {
        return fingerprints.get(fingerprint);
    }

    /** Returns the permit of a request while it is not known to be in use. */
    Optional<Permit> unused(RequestId id) {
        Entry entry = permits.get(id);
        return entry == null || entry.started || entry.endedAt != null ? Optional.empty() : Optional.of(entry.permit);
    }

    /** Tells whether this is the latest grant of a request and nothing is known to have been sent under it. */
    boolean unused(PermitRef ref) {
        Entry entry = permits.get(ref.request());
        return entry != null && !entry.started && entry.permit.ref().equals(ref);
    }

    boolean holds(RequestId id) {
        return permits.containsKey(id);
    }

    Collection<Permit> permits() {
        List<Permit> result = new ArrayList<>(permits.size());
        permits.values().forEach(entry -> result.add(entry.permit));
        return result;
    }

    void renew(Permit permit) {
        permits.get(permit.id()).permit = permit;
    }

    void add(Permit permit) {
        PermitRequest request = permit.request();
        removeForeign(request.id());
        ended.remove(request.id());
        Entry entry = new Entry(permit);
        if (permits.putIfAbsent(request.id(), entry) != null) {
            return;
        }
        own.add(request.promptClass(), request.tokens());
        countUnsent(entry, 1);
        setPrefill(entry, request.promptClass() == PromptClass.LONG);
        fingerprints.putIfAbsent(request.fingerprint(), request.id());
        if (request.runsAlone() && marked.isEmpty()) {
            marked = Optional.of(request.id());
        }
    }

    void started(RequestId id, long now) {
        Entry entry = permits.get(id);
        if (entry != null && !entry.started) {
            countUnsent(entry, -1);
            entry.started = true;
            entry.startedAt = now;
        }
    }

    void prefillDone(RequestId id) {
        Entry entry = permits.get(id);
        if (entry != null) {
            setPrefill(entry, false);
        }
    }

    /** Keeps the work counted until a list asked for after now does not show it. */
    void endedInDoubt(RequestId id, long now) {
        Entry entry = permits.get(id);
        if (entry != null) {
            countUnsent(entry, -1);
            entry.endedAt = now;
        }
    }

    /** Removes work that certainly ended; returns its permit if there was one. */
    Optional<Permit> end(RequestId id, long now) {
        removeForeign(id);
        orphans.remove(id);
        ended.remove(id);
        ended.put(id, now);
        Entry entry = permits.remove(id);
        if (entry == null) {
            return Optional.empty();
        }
        PermitRequest request = entry.permit.request();
        own.remove(request.promptClass(), request.tokens());
        countUnsent(entry, -1);
        setPrefill(entry, false);
        fingerprints.remove(request.fingerprint(), id);
        if (marked.isPresent() && marked.get().equals(id)) {
            marked = Optional.empty();
        }
        return Optional.of(entry.permit);
    }

    /**
     * Takes in which work a holder has as of a time: its unused permits that it does not name are dropped, and an earlier
     * owner's work at the engine that it does not name has ended and becomes an orphan. The release of such work went to
     * the earlier owner, which may have died before it could act on it.
     */
    void onlyHeldBy(Incarnation holder, Set<RequestId> held, long asOf, long now) {
        for (Entry entry : List.copyOf(permits.values())) {
            boolean its = entry.permit.request().holder().equals(holder) && !held.contains(entry.permit.id());
            if (its && !entry.started && entry.permit.grantedNanos() - asOf < 0) {
                end(entry.permit.id(), now);
            }
        }
        for (ListedRequest row : foreign.values()) {
            boolean its = row.holder().equals(holder) && !held.contains(row.id());
            if (its && foreignSince.get(row.id()) - asOf < 0) {
                ended.put(row.id(), asOf);
            }
        }
    }

    /** Returns who holds permits granted before a time, or work of an earlier owner that was seen before it. */
    Set<Incarnation> holdersBefore(long time) {
        Set<Incarnation> result = new HashSet<>();
        for (Entry entry : permits.values()) {
            if (entry.permit.grantedNanos() - time < 0) {
                result.add(entry.permit.request().holder());
            }
        }
        for (ListedRequest row : foreign.values()) {
            if (foreignSince.get(row.id()) - time < 0) {
                result.add(row.holder());
            }
        }
        return result;
    }

    /** Frees the permits of holders that are gone and that no list will show any more. */
    void dropGone(boolean listed, long now) {
        for (Entry entry : List.copyOf(permits.values())) {
            if ((!entry.started || !listed)
                    && holders.isTerminated(entry.permit.request().holder())) {
                end(entry.permit.id(), now);
            }
        }
    }

    /**
     * Compares with the engine's own list.
     *
     * @param rows the list
     * @param asked when it was requested
     * @param firstFence the lowest fencing number whose permits this controller knows
     * @param lastFence the highest one
     * @param adopt whether rows without a fencing number are an earlier owner's rather than orphans
     * @return the requests to cancel now
     */
    List<RequestId> listed(
            Collection<ListedRequest> rows, long asked, long firstFence, long lastFence, boolean adopt, long now) {
        Set<RequestId> shown = new HashSet<>();
        List<RequestId> cancel = new ArrayList<>();
        for (ListedRequest row : rows) {
            Long endedAt = ended.get(row.id());
            if ((endedAt != null && endedAt - asked >= 0) || row.fence() > lastFence) {
                continue;
            }
            shown.add(row.id());
            Entry entry = permits.get(row.id());
            boolean orphan = holders.isPresumedDead(row.holder());
            if (entry != null) {
                started(row.id(), asked);
                setPrefill(entry, entry.prefill && row.prefilling());
                orphan |= entry.endedAt != null;
            } else {
                replaceForeign(row);
                foreignSince.putIfAbsent(row.id(), now);
                orphan |= endedAt != null || (row.fence() == 0 ? !adopt : row.fence() >= firstFence);
            }
            if (!orphan) {
                orphans.remove(row.id());
            } else if (now - orphans.computeIfAbsent(row.id(), id -> now) >= ORPHAN_AFTER.toNanos()) {
                cancel.add(row.id());
            }
        }
        dropAbsent(shown, asked, now);
        return cancel;
    }

    private void dropAbsent(Set<RequestId> shown, long asked, long now) {
        for (RequestId id : List.copyOf(foreign.keySet())) {
            if (!shown.contains(id)) {
                removeForeign(id);
            }
        }
        foreignSince.keySet().retainAll(foreign.keySet());
        for (Entry entry : List.copyOf(permits.values())) {
            boolean wasThere = entry.started && entry.startedAt - asked < 0;
            boolean over = entry.endedAt != null && entry.endedAt - asked < 0;
            if (!shown.contains(entry.permit.id()) && (wasThere || over)) {
                end(entry.permit.id(), now);
            }
        }
        orphans.keySet().retainAll(shown);
        Iterator<Long> times = ended.values().iterator();
        while (times.hasNext() && now - times.next() > REMEMBER_ENDED_NANOS) {
            times.remove();
        }
    }

    private void replaceForeign(ListedRequest row) {
        removeForeign(row.id());
        foreign.put(row.id(), row);
        others.add(row.promptClass(), row.tokens());
        if (row.promptClass() == PromptClass.LONG && row.prefilling()) {
            others.longPrefill(1);
        }
    }

    private void removeForeign(RequestId id) {
        ListedRequest row = foreign.remove(id);
        if (row != null) {
            others.remove(row.promptClass(), row.tokens());
            if (row.promptClass() == PromptClass.LONG && row.prefilling()) {
                others.longPrefill(-1);
            }
        }
    }

    /** Counts an entry that is neither started nor ended; others were taken off the count before. */
    private void countUnsent(Entry entry, int change) {
        if (!entry.started && entry.endedAt == null) {
            unsentSlots += change;
            unsentTokens += change * entry.permit.request().tokens();
        }
    }

    private void setPrefill(Entry entry, boolean prefill) {
        if (entry.prefill != prefill) {
            entry.prefill = prefill;
            own.longPrefill(prefill ? 1 : -1);
        }
    }

    private static final class Entry {
        private Permit permit;
        private boolean started;
        private boolean prefill;
        private long startedAt;
        private Long endedAt;

        private Entry(Permit permit) {
            this.permit = permit;
        }
    }
}
