package org.jujuberouter.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Rendezvous;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * Decides for which endpoints this instance admits.
 *
 * <p>The live candidate with the highest rendezvous hash claims an endpoint by compare-and-swap once its view has been
 * stable, and only if the current owner's registration is gone from the store. An owner that did not release becomes an
 * unreleased predecessor in the record; its lapsed share stays set aside until it is cleared. The record is written on
 * change only. A write without an answer leaves the state unsure, and the next step reads it back; until then the owner
 * uses the smaller of the two possible shares.
 *
 * <p>{@link #status} is called for every permit and reads two immutable values; it never waits for the store.
 */
public final class Ownership {
    /** How often {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /** How long the view must be unchanged before a claim: one suspicion period. */
    static final Duration STABLE_BEFORE_CLAIM = Duration.ofSeconds(3);

    /** How long a better owner must be live before a handover, so that a flapping instance does not move endpoints. */
    static final Duration STABLE_BEFORE_HANDOVER = Duration.ofSeconds(10);

    /**
     * How long the list must show a predecessor gone before it is cleared, counted from when it was first seen as one.
     *
     * <p>What the list showed before that may be the end of an earlier run of the same instance.
     */
    static final Duration GONE_BEFORE_CLEAR = Duration.ofSeconds(10);

    /** Unreleased predecessors above which nobody takes over: the share left is a 256th, and records nest. */
    static final int MAX_PREDECESSORS = 4;

    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RECHECK_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Logger LOG = System.getLogger(Ownership.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final Registration registration;
    private final MemberView members;
    private final Map<EndpointId, OwnerState> states = new HashMap<>();
    private final Map<EndpointId, OwnedEndpoint> owned = new ConcurrentHashMap<>();
    private final Map<EndpointId, InstanceId> hints = new ConcurrentHashMap<>();
    private volatile Map<EndpointId, InstanceId> winners = Map.of();
    private final List<ReleasedEndpoint> released = new ArrayList<>();
    private Set<EndpointId> known = Set.of();
    private long winnersAsOf = Long.MIN_VALUE;
    private long storeRetryAt;
    private boolean stopping;

    private Ownership(Ticker ticker, PlatformStore store, Registration registration, MemberView members) {
        this.ticker = ticker;
        this.store = store;
        this.registration = registration;
        this.members = members;
        this.storeRetryAt = ticker.nanos();
    }

    /** Returns an ownership that holds nothing yet. */
    public static Ownership of(Ticker ticker, PlatformStore store, Registration registration, MemberView members) {
        return new Ownership(ticker, store, registration, members);
    }

    /** Returns what this instance may do with the endpoint now; cheap enough for every permit. */
    public OwnershipStatus status(EndpointId endpoint) {
        OwnedEndpoint own = owned.get(endpoint);
        if (own != null) {
            Registration.Held held = registration.held();
            if (own.owner().equals(held.incarnation()) && !registration.suspended()) {
                return new OwnershipStatus.Owner(own.fence(), !held.validNow(ticker.nanos()), own.predecessors());
            }
        }
        InstanceId hint = hints.getOrDefault(endpoint, winners.get(endpoint));
        return new OwnershipStatus.NotOwner(Optional.ofNullable(hint).filter(h -> !h.equals(registration.self())));
    }

    /** Returns the endpoints that this instance admits for now. */
    public Set<EndpointId> owned() {
        return Set.copyOf(owned.keySet());
    }

    /**
     * Takes all steps that are due.
     *
     * @param endpoints the endpoints of this instance's region
     * @return what was released since the last call
     */
    public synchronized List<ReleasedEndpoint> tick(Collection<EndpointId> endpoints) {
        refreshWinners(endpoints);
        long now = ticker.nanos();
        if (now - storeRetryAt >= 0) {
            try {
                Set<EndpointId> relevant = new HashSet<>(states.keySet());
                winners.forEach((endpoint, winner) -> {
                    if (winner.equals(registration.self())) {
                        relevant.add(endpoint);
                    }
                });
                for (EndpointId endpoint : relevant) {
                    step(endpoint);
                }
            } catch (PlatformException e) {
                storeRetryAt = now + RETRY_NANOS;
                LOG.log(Level.DEBUG, "[ownership] the store did not answer: {0}", e.getMessage());
            }
        }
        List<ReleasedEndpoint> result = List.copyOf(released);
        released.clear();
        return result;
    }

    /** Makes the next {@link #tick} look at the endpoint at once; to be called when a handover message arrives. */
    public synchronized void onHandover(EndpointId endpoint) {
        OwnerState state = states.computeIfAbsent(endpoint, e -> new OwnerState());
        state.unsure = true;
        state.due = ticker.nanos();
    }

    /**
     * Notes what a refusal said about the owner of an endpoint.
     *
     * @param owner the instance to ask next; empty when the one that was asked knows none, which leaves the best by hash
     */
    public void hint(EndpointId endpoint, Optional<InstanceId> owner) {
        if (owner.isEmpty() || owner.get().equals(registration.self())) {
            hints.remove(endpoint);
        } else {
            hints.put(endpoint, owner.get());
        }
    }

    /** Starts the planned stop: all endpoints are released by the following ticks and none is claimed. */
    public synchronized void stop() {
        stopping = true;
        long now = ticker.nanos();
        states.values().forEach(state -> state.due = now);
    }

    private void refreshWinners(Collection<EndpointId> endpoints) {
        long changedAt = ticker.nanos() - members.stableNanos();
        Set<EndpointId> current = Set.copyOf(endpoints);
        if (changedAt == winnersAsOf && known.equals(current)) {
            return;
        }
        winnersAsOf = changedAt;
        known = current;
        Map<EndpointId, InstanceId> next = new HashMap<>();
        for (EndpointId endpoint : current) {
            Rendezvous.first(endpoint.value(), members.candidates(endpoint)).ifPresent(w -> next.put(endpoint, w));
        }
        winners = Map.copyOf(next);
        // What others said before the change may name an instance that has left.
        hints.clear();
    }

    private void step(EndpointId endpoint) throws PlatformException {
        long now = ticker.nanos();
        OwnerState state = states.computeIfAbsent(endpoint, e -> {
            OwnerState fresh = new OwnerState();
            fresh.due = now;
            return fresh;
        });
        Incarnation self = registration.incarnation().orElse(null);
        noteBetterOwner(endpoint, state, now);
        if (now - state.due < 0 || self == null) {
            return;
        }
        state.due = now + RETRY_NANOS;
        if (state.unsure) {
            state.saw(store.read(key(endpoint)));
            publish(endpoint, state, self);
        }
        if (state.ownedBy(self)) {
            stepAsOwner(endpoint, state, self, now);
        } else if (state.releasing) {
            finishRelease(endpoint, state);
        } else {
            stepAsOther(endpoint, state, self);
        }
    }

    private void noteBetterOwner(EndpointId endpoint, OwnerState state, long now) {
        InstanceId winner = winners.get(endpoint);
        InstanceId better = registration.self().equals(winner) ? null : winner;
        if (better == null || !better.equals(state.better)) {
            state.better = better;
            state.betterSince = now;
        }
    }

    private void stepAsOwner(EndpointId endpoint, OwnerState state, Incarnation self, long now)
            throws PlatformException {
        boolean betterLive = state.better != null && now - state.betterSince >= STABLE_BEFORE_HANDOVER.toNanos();
        if (stopping || betterLive || state.releasing || !known.contains(endpoint)) {
            if (!state.releasing) {
                // Grants stop before the release is written, so a store that is down must be noticed first.
                state.saw(store.read(key(endpoint)));
                state.releasing = true;
                state.releasedFence = state.seen == null ? 0 : state.seen.fence();
            }
            owned.remove(endpoint);
            if (!state.ownedBy(self)) {
                finishRelease(endpoint, state);
                return;
            }
            write(endpoint, state, state.seen.released(), self);
            if (!state.unsure) {
                finishRelease(endpoint, state);
            }
            return;
        }
        List<Predecessor> cleared = new ArrayList<>();
        for (Predecessor predecessor : state.predecessors()) {
            if (registeredAnew(predecessor.owner())
                    || (now - state.predecessorsSince >= GONE_BEFORE_CLEAR.toNanos()
                            && members.absentNanos(predecessor.owner().instance()) >= GONE_BEFORE_CLEAR.toNanos())) {
                cleared.add(predecessor);
            }
        }
        if (!cleared.isEmpty()) {
            LOG.log(Level.INFO, "[ownership] cleared {0} predecessor(s) of {1}", cleared.size(), endpoint);
            write(endpoint, state, state.seen.without(cleared), self);
        }
    }

    private void finishRelease(EndpointId endpoint, OwnerState state) {
        released.add(new ReleasedEndpoint(endpoint, state.releasedFence, state.better));
        LOG.log(Level.INFO, "[ownership] released {0} to {1}", endpoint, state.better);
        states.remove(endpoint);
        hint(endpoint, Optional.ofNullable(state.better));
    }

    /** Claims an endpoint that this instance should own, if its owner released it or is gone from the store. */
    private void stepAsOther(EndpointId endpoint, OwnerState state, Incarnation self) throws PlatformException {
        if (stopping || !registration.self().equals(winners.get(endpoint))) {
            states.remove(endpoint);
            return;
        }
        if (members.stableNanos() < STABLE_BEFORE_CLAIM.toNanos() || !registration.valid()) {
            state.due = ticker.nanos();
            return;
        }
        state.due = ticker.nanos() + RECHECK_NANOS;
        state.saw(store.read(key(endpoint)));
        publish(endpoint, state, self);
        if (state.seen == null) {
            write(endpoint, state, OwnerRecord.first(self), self);
            return;
        }
        Incarnation owner = state.seen.currentOwner().orElse(null);
        boolean own = owner != null && owner.instance().equals(self.instance());
        if (owner != null && !own && registeredNumber(owner.instance()) == owner.number()) {
            return;
        }
        boolean ownerCleared = owner == null || own || registeredAnew(owner);
        if (ownerCleared || state.predecessors().size() < MAX_PREDECESSORS) {
            LOG.log(Level.INFO, "[ownership] claiming {0} from {1}, cleared: {2}", endpoint, owner, ownerCleared);
            write(endpoint, state, state.seen.takenBy(self, ownerCleared), self);
        }
    }

    /** Tells whether the instance runs under a newer incarnation, so that this one grants no more. */
    private boolean registeredAnew(Incarnation earlier) throws PlatformException {
        return registeredNumber(earlier.instance()) > earlier.number();
    }

    private long registeredNumber(InstanceId instance) throws PlatformException {
        return store.read("instance/" + instance).map(StoreEntry::revision).orElse(0L);
    }

    private void write(EndpointId endpoint, OwnerState state, OwnerRecord next, Incarnation self)
            throws PlatformException {
        long before = state.revision;
        switch (store.compareAndSet(key(endpoint), before, OwnerCodec.encode(next), null)) {
            case WriteOutcome.Done done -> {
                state.seen = next;
                state.revision = done.revision();
                state.unsure = false;
            }
            case WriteOutcome.Conflict conflict -> state.saw(conflict.current());
            case WriteOutcome.Unknown unknown -> {
                state.unsure = true;
                state.due = ticker.nanos();
                LOG.log(Level.DEBUG, "[ownership] no answer to the write of {0}, reading it back", endpoint);
            }
        }
        if (!state.unsure) {
            publish(endpoint, state, self);
        }
    }

    /** Makes the known record visible to {@link #status}. */
    private void publish(EndpointId endpoint, OwnerState state, Incarnation self) {
        OwnedEndpoint before = owned.get(endpoint);
        if (before == null || !before.predecessors().equals(state.predecessors())) {
            state.predecessorsSince = ticker.nanos();
        }
        if (state.ownedBy(self) && !state.releasing) {
            owned.put(endpoint, new OwnedEndpoint(self, state.seen.fence(), state.seen.predecessors()));
        } else {
            owned.remove(endpoint);
        }
        if (state.seen != null) {
            hint(endpoint, state.seen.currentOwner().map(Incarnation::instance));
        }
    }

    private static String key(EndpointId endpoint) {
        return "owner/" + endpoint;
    }

    private record OwnedEndpoint(Incarnation owner, long fence, List<Predecessor> predecessors) {}
}
