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
 * The work that counts against the bound of one endpoint.
 *
 * <p>Own work has a permit of this controller; foreign work is in the engine's list without such a permit, mostly
 * admitted by an earlier owner. A permit that is not known to be in use counts until its holder reports or is known to
 * have terminated, because a paused holder may still send. Absence from the engine's list proves the end only of work
 * that is known to have started.
 */
final class InFlight {
    /** How long a request without a permit or with a dead holder may run before it is cancelled. */
    static final Duration ORPHAN_GRACE = Duration.ofSeconds(5);

    private static final long ENDED_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    private final HolderLiveness holders;
    private final Map<RequestId, Entry> permits = new LinkedHashMap<>();
    private final Map<RequestId, ListedRequest> foreignRequests = new HashMap<>();
    private final Map<RequestId, Long> foreignSinceNanos = new HashMap<>();
    private final Map<RequestId, Long> orphanedSinceNanos = new HashMap<>();
    private final Map<RequestId, Long> endedAtNanos = new LinkedHashMap<>();
    private final Map<Fingerprint, RequestId> fingerprints = new HashMap<>();
    private final CapacityUsage ownUsage = new CapacityUsage();
    private final CapacityUsage foreignUsage = new CapacityUsage();
    private Optional<RequestId> marked = Optional.empty();
    private long unsentSlots;
    private long unsentTokens;

    InFlight(HolderLiveness holders) {
        this.holders = holders;
    }

    CapacityUsage ownUsage() {
        return ownUsage;
    }

    CapacityUsage foreignUsage() {
        return foreignUsage;
    }

    /** Returns whether the permits not known to be in use, with one more, fit the given part of the bound. */
    boolean fitsUnsentLimit(long tokens, Capacity part) {
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

    /** Returns whether this is the latest grant of a request and is not known to be in use. */
    boolean unused(PermitRef ref) {
        Entry entry = permits.get(ref.request());
        return entry != null && !entry.started && entry.permit.ref().equals(ref);
    }

    boolean contains(RequestId id) {
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
        endedAtNanos.remove(request.id());
        Entry entry = new Entry(permit);
        if (permits.putIfAbsent(request.id(), entry) != null) {
            return;
        }
        ownUsage.add(request.promptClass(), request.tokens());
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

    /** Keeps counting the work until a list that was requested after now does not contain it. */
    void endedUnconfirmed(RequestId id, long now) {
        Entry entry = permits.get(id);
        if (entry != null) {
            countUnsent(entry, -1);
            entry.endedAt = now;
        }
    }

    /** Removes work that is known to have ended; returns its permit if there was one. */
    Optional<Permit> end(RequestId id, long now) {
        removeForeign(id);
        orphanedSinceNanos.remove(id);
        endedAtNanos.remove(id);
        endedAtNanos.put(id, now);
        Entry entry = permits.remove(id);
        if (entry == null) {
            return Optional.empty();
        }
        PermitRequest request = entry.permit.request();
        ownUsage.remove(request.promptClass(), request.tokens());
        countUnsent(entry, -1);
        setPrefill(entry, false);
        fingerprints.remove(request.fingerprint(), id);
        if (marked.isPresent() && marked.get().equals(id)) {
            marked = Optional.empty();
        }
        return Optional.of(entry.permit);
    }

    /**
     * Reconciles with the work that a holder reports as of a time. Unused permits that the report does not contain are
     * dropped. Foreign work that it does not contain has ended and becomes an orphan: its release went to the earlier
     * owner, which may have died before acting on it.
     */
    void reconcileHolder(Incarnation holder, Set<RequestId> held, long asOf, long now) {
        for (Entry entry : List.copyOf(permits.values())) {
            boolean missing = entry.permit.request().holder().equals(holder) && !held.contains(entry.permit.id());
            if (missing && !entry.started && entry.permit.grantedNanos() - asOf < 0) {
                end(entry.permit.id(), now);
            }
        }
        for (ListedRequest row : foreignRequests.values()) {
            boolean missing = row.holder().equals(holder) && !held.contains(row.id());
            if (missing && foreignSinceNanos.get(row.id()) - asOf < 0) {
                endedAtNanos.put(row.id(), asOf);
            }
        }
    }

    /** Returns the holders of permits granted, and of foreign work first listed, before a time. */
    Set<Incarnation> holdersBefore(long time) {
        Set<Incarnation> result = new HashSet<>();
        for (Entry entry : permits.values()) {
            if (entry.permit.grantedNanos() - time < 0) {
                result.add(entry.permit.request().holder());
            }
        }
        for (ListedRequest row : foreignRequests.values()) {
            if (foreignSinceNanos.get(row.id()) - time < 0) {
                result.add(row.holder());
            }
        }
        return result;
    }

    /** Drops the permits of terminated holders whose end no list can confirm. */
    void dropTerminatedHolders(boolean listsRequests, long now) {
        for (Entry entry : List.copyOf(permits.values())) {
            if ((!entry.started || !listsRequests)
                    && holders.isTerminated(entry.permit.request().holder())) {
                end(entry.permit.id(), now);
            }
        }
    }

    /**
     * Reconciles with the engine's list of requests.
     *
     * @param listedRequests the entries of the list
     * @param requestedAtNanos the time at which it was requested
     * @param firstFence the lowest fencing number whose permits this controller knows
     * @param lastFence the highest such number
     * @param adoptUnfenced whether entries without a fencing number count as an earlier owner's work rather than as
     *     orphans
     * @return the requests to cancel now
     */
    List<RequestId> reconcileList(
            Collection<ListedRequest> listedRequests,
            long requestedAtNanos,
            long firstFence,
            long lastFence,
            boolean adoptUnfenced,
            long now) {
        Set<RequestId> listedIds = new HashSet<>();
        List<RequestId> cancel = new ArrayList<>();
        for (ListedRequest row : listedRequests) {
            Long endedAt = endedAtNanos.get(row.id());
            if ((endedAt != null && endedAt - requestedAtNanos >= 0) || row.fence() > lastFence) {
                continue;
            }
            listedIds.add(row.id());
            Entry entry = permits.get(row.id());
            boolean orphan = holders.isPresumedDead(row.holder());
            if (entry != null) {
                started(row.id(), requestedAtNanos);
                setPrefill(entry, entry.prefill && row.prefilling());
                orphan |= entry.endedAt != null;
            } else {
                replaceForeign(row);
                foreignSinceNanos.putIfAbsent(row.id(), now);
                orphan |= endedAt != null || (row.fence() == 0 ? !adoptUnfenced : row.fence() >= firstFence);
            }
            if (!orphan) {
                orphanedSinceNanos.remove(row.id());
            } else if (now - orphanedSinceNanos.computeIfAbsent(row.id(), id -> now) >= ORPHAN_GRACE.toNanos()) {
                cancel.add(row.id());
            }
        }
        dropAbsent(listedIds, requestedAtNanos, now);
        return cancel;
    }

    private void dropAbsent(Set<RequestId> listedIds, long requestedAtNanos, long now) {
        for (RequestId id : List.copyOf(foreignRequests.keySet())) {
            if (!listedIds.contains(id)) {
                removeForeign(id);
            }
        }
        foreignSinceNanos.keySet().retainAll(foreignRequests.keySet());
        for (Entry entry : List.copyOf(permits.values())) {
            boolean wasListable = entry.started && entry.startedAt - requestedAtNanos < 0;
            boolean endConfirmable = entry.endedAt != null && entry.endedAt - requestedAtNanos < 0;
            if (!listedIds.contains(entry.permit.id()) && (wasListable || endConfirmable)) {
                end(entry.permit.id(), now);
            }
        }
        orphanedSinceNanos.keySet().retainAll(listedIds);
        Iterator<Long> times = endedAtNanos.values().iterator();
        while (times.hasNext() && now - times.next() > ENDED_RETENTION_NANOS) {
            times.remove();
        }
    }

    private void replaceForeign(ListedRequest row) {
        removeForeign(row.id());
        foreignRequests.put(row.id(), row);
        foreignUsage.add(row.promptClass(), row.tokens());
        if (row.promptClass() == PromptClass.LONG && row.prefilling()) {
            foreignUsage.addLongPrefills(1);
        }
    }

    private void removeForeign(RequestId id) {
        ListedRequest row = foreignRequests.remove(id);
        if (row != null) {
            foreignUsage.remove(row.promptClass(), row.tokens());
            if (row.promptClass() == PromptClass.LONG && row.prefilling()) {
                foreignUsage.addLongPrefills(-1);
            }
        }
    }

    /** Adjusts the counts of unsent work; an entry that has started or ended was subtracted before. */
    private void countUnsent(Entry entry, int change) {
        if (!entry.started && entry.endedAt == null) {
            unsentSlots += change;
            unsentTokens += change * entry.permit.request().tokens();
        }
    }

    private void setPrefill(Entry entry, boolean prefill) {
        if (entry.prefill != prefill) {
            entry.prefill = prefill;
            ownUsage.addLongPrefills(prefill ? 1 : -1);
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
